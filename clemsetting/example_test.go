package clemsetting_test

import (
	"fmt"

	"github.com/clementineturn/clementineturn/clemsetting"
)

func ExampleParse() {
	s, err := clemsetting.Parse([]byte(`{
		"role": "sidecar", "name": "srv-1", "region": "bengal", "centre": "kol-a",
		"listen": "10.0.1.1:8080", "platform": "http://10.0.9.1:9000",
		"fleet": "0123456789abcdef", "pool": "cribs", "backend": "http://127.0.0.1:8000",
		"linger": "1m"
	}`))
	fmt.Println(s.Name(), s.Linger(), s.AnswerBufferBytes(), err)
	// Output: srv-1 1m0s 16777216 <nil>
}

func ExampleValidationError() {
	_, err := clemsetting.Parse([]byte(`{
		"role": "entry", "name": "entry-1", "region": "bengal", "centre": "kol-a",
		"listen": "10.0.0.1:8080", "platform": "http://10.0.9.1:9000",
		"fleet": "0123456789abcdef", "setle": "1s", "body": 10
	}`))
	fmt.Println(err)
	// Output:
	// body: found 10, allowed: an integer, 1024 to 25165824
	// setle: found an unknown key; did you mean "settle"?
}
