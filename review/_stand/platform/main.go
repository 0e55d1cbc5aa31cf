// Command stand runs the scripts of the review's cases: it starts the system's own
// processes beside stand-ins of the platform's store, the servers and the consumers, and
// judges what these have seen.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

var cases = map[string]func(*fleet){
	"reset":  resetAnswer,
	"stale":  staleServer,
	"stop":   stopAfterOddRequest,
	"crowd":  crowd,
	"memory": endlessAnswers,
}

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitCannot)
	}
	// The processes that it starts end with the thread that started them.
	runtime.LockOSThread()
	f := newFleet(os.Args[2])
	time.AfterFunc(maxTime, func() { fail("no end after %v", maxTime) })
	cases[os.Args[1]](f)
}
