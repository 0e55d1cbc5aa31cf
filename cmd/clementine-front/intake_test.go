package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/platform"
)

const (
	// intakeMemoryMB and intakeDescriptors are the settings of the front under test,
	// and the bounds of its resident memory and its open descriptors.
	intakeMemoryMB    = 96
	intakeDescriptors = 1600
	// maxIntakeHead and maxIntakeBody are the limits of its configuration.
	maxIntakeHead = 16384
	maxIntakeBody = 1 << 20
	// maxSentBytes is how much a client of an endless kind sends if it is not refused.
	maxSentBytes = 4 << 20
)

// intakeHead returns the head of a legal request without its end.
func intakeHead(contentLength int) string {
	return fmt.Sprintf("POST /a/ HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k1\r\nX-Request-Id: r2\r\nContent-Length: %d\r\n", contentLength)
}

// shortLines returns header lines of different names up to the size.
func shortLines(size int) string {
	var b strings.Builder
	for n := 0; ; n++ {
		line := "a" + strconv.FormatInt(int64(n), 36) + ":\n"
		if b.Len()+len(line) > size {
			return b.String()
		}
		b.WriteString(line)
	}
}

// crowd is a number of clients that all send the same: the start once, then the
// repeated text until they are refused or have sent maxSentBytes. They keep their
// connections open.
type crowd struct {
	clients         int
	start, repeated string
	// maxDescriptors is the setting max_fds, intakeDescriptors if 0.
	maxDescriptors int
}

// The sizes of the crowds and the bounds are fixed: without limits on clients the
// memory of most crowds is a multiple of the bound.
func intakeCrowds() map[string]crowd {
	head := intakeHead(1000)
	return map[string]crowd{
		"legal heads of many lines": {clients: 500, start: head + shortLines(maxIntakeHead-len(head)-2) + "\r\n"},
		"heads over the limit":      {clients: 200, start: head + "A: " + strings.Repeat("x", 900<<10) + "\r\n\r\n"},
		"endless header lines":      {clients: 60, start: head, repeated: shortLines(256 << 10)},
		"endless line":              {clients: 150, start: head + "A: ", repeated: strings.Repeat("x", 64<<10)},
		"endless empty lines":       {clients: 200, repeated: strings.Repeat("\r\n", 16<<10)},
		"legal large bodies":        {clients: 200, start: intakeHead(maxIntakeBody) + "\r\n" + strings.Repeat("x", maxIntakeBody-1)},
		"connections without bytes": {clients: 600, maxDescriptors: 500},
	}
}

// send runs one client and returns its connection.
func (c crowd) send(address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil
	}
	// A front that does not read is no reason to wait for ever.
	_ = conn.SetWriteDeadline(time.Now().Add(waitTimeout))
	sent, err := io.WriteString(conn, c.start)
	for err == nil && c.repeated != "" && sent < maxSentBytes {
		var n int
		n, err = io.WriteString(conn, c.repeated)
		sent += n
	}
	return conn
}

// startProgram builds and starts the front as a process of its own, without the race
// detector of the test, and waits until it serves. The functions are called before the
// front starts.
func startProgram(t *testing.T, maxDescriptors int, prepare ...func(*testFront)) (*testFront, int) {
	dir := t.TempDir()
	program := os.Getenv(programVariable)
	if program == "" {
		program = filepath.Join(dir, "clementine-front")
		output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
		require.NoError(t, err, string(output))
	}
	f := &testFront{
		t: t, store: clemstandin.NewProvider(), frontAddress: freeAddress(t), readyAddress: freeAddress(t), controlAddress: freeAddress(t),
		settingsPath: filepath.Join(dir, "settings.json"),
	}
	provider := httptest.NewServer(f.store)
	t.Cleanup(provider.Close)
	// The metrics have a fixed port: the address differs from those of other processes.
	metricsIP := fmt.Sprintf("127.77.%d.%d", os.Getpid()>>8&255, os.Getpid()&255|1)
	f.writeSettings(fmt.Sprintf(`{"node": "front-1", "ip": %q, "zone": "z", "listen": {"front": %q, "ready": %q, "control": %q},
		"heartbeat_ms": 1200, "provider": {"address": %q}, "limits": {"memory_mb": %d, "max_fds": %d},
		"bounds": {"grace_s": 8, "cap_x": 2, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_budget_slack": 20}}`,
		metricsIP, f.frontAddress, f.readyAddress, f.controlAddress, strings.TrimPrefix(provider.URL, "http://"), intakeMemoryMB, maxDescriptors))
	configuration := configurationOf(1, "/a/")
	configuration["routes"].([]map[string]any)[0]["timeout_ms"] = 30000
	configuration["limits"] = map[string]any{"max_header_bytes": maxIntakeHead, "max_body_bytes": maxIntakeBody, "header_timeout_ms": 20000, "idle_timeout_ms": 60000}
	require.NoError(t, f.store.Put("op", "config", configuration))
	f.putServer("i-1", startServer(t, "i-1"))
	for _, function := range prepare {
		function(f)
	}
	command := exec.Command(program)
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+f.settingsPath)
	command.Stdout = f
	require.NoError(t, command.Start())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = command.Wait()
	}()
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		<-ended
	})
	f.eventually(f.isReady)
	return f, command.Process.Pid
}

// processMemory returns a figure of /proc/PID/status in bytes.
func processMemory(t *testing.T, pid int, name string) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err, "the process is alive")
	_, rest, found := strings.Cut(string(status), name+":")
	require.True(t, found, "the process is alive")
	kB, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kB << 10
}

func countDescriptors(t *testing.T, pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	require.NoError(t, err, "the process is alive")
	return len(entries)
}

// Guards against processes that clients outside the limits drive out of memory or
// descriptors, and against one that serves nobody afterwards. Times and the share
// of requests that are served are not checked.
func TestClientsOutsideTheLimits(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("memory and descriptors are read from /proc")
	}
	for name, c := range intakeCrowds() {
		t.Run(name, func(t *testing.T) {
			maxDescriptors := cmp.Or(c.maxDescriptors, intakeDescriptors)
			f, pid := startProgram(t, maxDescriptors)
			before := processMemory(t, pid, "VmRSS")
			conns := make([]net.Conn, c.clients)
			var clients sync.WaitGroup
			for i := range conns {
				clients.Go(func() { conns[i] = c.send(f.frontAddress) })
			}
			clients.Wait()
			defer func() {
				for _, conn := range conns {
					if conn != nil {
						_ = conn.Close()
					}
				}
			}()
			// What the kernel buffered is read by the front until its memory is steady.
			descriptors := 0
			for steady, last := 0, 0; steady < 5; time.Sleep(100 * time.Millisecond) {
				descriptors = max(descriptors, countDescriptors(t, pid))
				now := processMemory(t, pid, "VmHWM")
				if steady++; now != last {
					steady, last = 0, now
				}
			}
			f.eventually(func() bool {
				status, body := f.get("/a/x", "k1")
				return status == 200 && body == "GET /a/x acme"
			})
			peak, after := processMemory(t, pid, "VmHWM"), processMemory(t, pid, "VmRSS")
			t.Logf("resident memory %d MiB before, at most %d MiB, %d MiB after; at most %d descriptors", before>>20, peak>>20, after>>20, descriptors)
			require.LessOrEqual(t, peak, intakeMemoryMB<<20, "resident memory")
			require.LessOrEqual(t, descriptors, maxDescriptors, "open descriptors")
		})
	}
}

// Guards against limits that the largest legal request does not pass while the entry is
// not under load, and against limits of the configuration that apply only after a
// restart.
func TestLargestLegalRequestIsServed(t *testing.T) {
	f, _ := startProgram(t, intakeDescriptors)
	head := intakeHead(maxIntakeBody)
	head += shortLines(maxIntakeHead-len(head)-2) + "\r\n"
	post := func() int {
		conn, err := net.Dial("tcp", f.frontAddress)
		require.NoError(t, err)
		defer conn.Close()
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = io.WriteString(conn, head+strings.Repeat("\n", maxIntakeBody))
		}()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		_ = response.Body.Close()
		_ = conn.Close()
		<-sent
		return response.StatusCode
	}
	for range 3 {
		require.Equal(t, http.StatusOK, post())
	}
	configuration := configurationOf(2, "/a/")
	configuration["limits"] = map[string]any{"max_header_bytes": maxIntakeHead / 4, "max_body_bytes": maxIntakeBody}
	require.NoError(t, f.store.Put("op", "config", configuration))
	f.eventually(func() bool { return post() == http.StatusRequestHeaderFieldsTooLarge })
	status, _ := f.get("/a/x", "k1")
	require.Equal(t, http.StatusOK, status)
}
