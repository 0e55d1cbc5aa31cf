package main

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
)

const (
	// endlessRequests is how many requests servers in trouble answer at once, and
	// endlessServers the number of these servers.
	endlessRequests = 200
	endlessServers  = 4
	// soundRequests is how many requests to a sound service are sent meanwhile.
	soundRequests = 40
	// endlessEngines is the number of engines that list without end, and endlessListSize
	// what each of them sends at once, in bytes.
	endlessEngines  = 24
	endlessListSize = 32 << 20
)

// endlessAnswers are below the limits of a single response, which would end it.
func endlessAnswers() map[string]struct {
	path   string
	answer clemstandin.EndlessConfig
} {
	type trouble = struct {
		path   string
		answer clemstandin.EndlessConfig
	}
	stream := "Content-Type: text/event-stream\r\n"
	body := strings.Repeat("x", 1000<<10)
	lines := shortLines(28 << 10)
	return map[string]trouble{
		"head of many lines":      {path: "/stream/", answer: clemstandin.EndlessConfig{Head: lines}},
		"head of one line":        {path: "/plain/", answer: clemstandin.EndlessConfig{Head: "A: " + body[:240<<10]}},
		"no line end":             {path: "/plain/", answer: clemstandin.EndlessConfig{Status: body[:250<<10]}},
		"event":                   {path: "/stream/", answer: clemstandin.EndlessConfig{Head: stream, Body: body}},
		"large head and event":    {path: "/stream/", answer: clemstandin.EndlessConfig{Head: lines + stream, Body: body}},
		"body":                    {path: "/plain/", answer: clemstandin.EndlessConfig{Body: body}},
		"body with a length":      {path: "/plain/", answer: clemstandin.EndlessConfig{Head: "Content-Length: 1048576\r\n", Body: body}},
		"body of an error":        {path: "/plain/", answer: clemstandin.EndlessConfig{Status: "HTTP/1.1 500 Odd\r\n", Body: body}},
		"body of a stream's rest": {path: "/stream/", answer: clemstandin.EndlessConfig{Head: stream, Body: "id: 1\ndata: x\n\n" + body}},
	}
}

// putTrouble writes troubleConfiguration, and servers of its service "trouble" that answer
// in the given way.
func (f *testFront) putTrouble(servers int, answer clemstandin.EndlessConfig) {
	for n := range servers {
		server, err := clemstandin.StartEndlessServer(answer)
		require.NoError(f.t, err)
		f.t.Cleanup(server.Close)
		require.NoError(f.t, f.store.Put("servers", fmt.Sprintf("i-trouble-%d", n), map[string]any{
			"service": "trouble", "address": server.Address(), "zone": "z", "slots": endlessRequests, "state": "ready", "seq": 1,
		}))
	}
	require.NoError(f.t, f.store.Put("op", "config", troubleConfiguration(2)))
}

// requireSound checks that requests to the sound service are served for some seconds, and
// that the process does not take more than its memory.
func (f *testFront) requireSound(pid int) {
	f.t.Helper()
	for range soundRequests {
		status, body := f.get("/a/x", "k1")
		require.Equal(f.t, 200, status, body)
		time.Sleep(50 * time.Millisecond)
	}
	peak := processMemory(f.t, pid, "VmHWM")
	f.t.Logf("resident memory at most %d MiB", peak>>20)
	require.LessOrEqual(f.t, peak, intakeMemoryMB<<20, "resident memory")
}

// ask sends a request whose answer the client does not read, and returns its connection.
func (f *testFront) ask(path string, n int) net.Conn {
	conn, err := net.Dial("tcp", f.frontAddress)
	require.NoError(f.t, err)
	_, err = io.WriteString(conn, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k1\r\nX-Request-Id: e%d\r\nContent-Length: 0\r\n\r\n", path, n))
	require.NoError(f.t, err)
	return conn
}

// Guards against bytes without end, in heads or bodies of the answers of one service, that
// take a front above its memory: it would end with the requests to all other services.
func TestServersThatAnswerWithoutEnd(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("memory is read from /proc")
	}
	for name, c := range endlessAnswers() {
		t.Run(name, func(t *testing.T) {
			f, pid := startProgram(t, intakeDescriptors)
			f.putTrouble(endlessServers, c.answer)
			f.eventually(func() bool { return f.hasLogLine(fmt.Sprintf("i-trouble-%d", endlessServers-1)) })
			f.eventually(func() bool {
				status, _ := f.get("/a/x", "k1")
				return status == 200 && f.hasLogLine(`"version":2`)
			})
			for n := range endlessRequests {
				defer f.ask(c.path, n).Close()
			}
			f.requireSound(pid)
		})
	}
}

// Guards against the same while a front starts and asks all engines what they have cached.
func TestEnginesThatListWithoutEnd(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("memory is read from /proc")
	}
	for name, answer := range map[string]clemstandin.EndlessConfig{
		"no list":    {Body: strings.Repeat("x", endlessListSize)},
		"parts":      {Body: `{"held":[` + strings.Repeat(`["","1",1,"m"],`, endlessListSize/15)},
		"nested":     {Body: `{"held":` + strings.Repeat("[", endlessListSize)},
		"many lines": {Head: shortLines(60 << 10)},
	} {
		t.Run(name, func(t *testing.T) {
			f, pid := startProgram(t, intakeDescriptors, func(f *testFront) { f.putTrouble(endlessEngines, answer) })
			f.requireSound(pid)
			f.eventually(func() bool { return f.hasLogLine("engine cache inventory failed") })
		})
	}
}
