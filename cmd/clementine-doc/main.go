// Command clementine-doc writes the generated pages of the documentation. It
// must be run at the root of the repository.
package main

import (
	"fmt"
	"os"

	"github.com/clementineturn/clementineturn/clemdoc"
)

func main() {
	if err := clemdoc.Write("."); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
