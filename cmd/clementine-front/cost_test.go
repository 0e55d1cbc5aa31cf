package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// programVariable is the environment variable with the path of a built program to
// measure, so that two of them can be compared in turn.
const programVariable = "CLEMENTINE_FRONT_PROGRAM"

const (
	costRequests    = 20000
	costConnections = 1000
)

// processorTime returns the processor time of a process in ns.
func processorTime(t *testing.T, pid int) int {
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	require.NoError(t, err)
	sum := 0
	for _, task := range tasks {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", pid, task.Name()))
		require.NoError(t, err)
		n, err := strconv.Atoi(strings.Fields(string(data))[0])
		require.NoError(t, err)
		sum += n
	}
	return sum
}

// TestCost measures the processor time of a request and the memory of an idle connection
// of a built program. It checks nothing and runs by hand.
func TestCost(t *testing.T) {
	if os.Getenv(programVariable) == "" {
		t.Skip(programVariable + " names no program")
	}
	f, pid := startProgram(t, 4100)
	request := func(conn net.Conn, reader *bufio.Reader, body string) {
		_, err := io.WriteString(conn, intakeHead(len(body))+"Accept: */*\r\nUser-Agent: cost\r\nContent-Type: text/plain\r\n\r\n"+body)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", f.frontAddress)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn, bufio.NewReaderSize(conn, 1024)
	}
	conn, reader := dial()
	body := strings.Repeat("x", 2000)
	for range costRequests / 4 {
		request(conn, reader, body)
	}
	before := processorTime(t, pid)
	for range costRequests {
		request(conn, reader, body)
	}
	perRequest := float64(processorTime(t, pid)-before) / costRequests
	memory := processMemory(t, pid, "VmRSS")
	for range costConnections {
		conn, reader := dial()
		request(conn, reader, "x")
	}
	perConnection := float64(processMemory(t, pid, "VmRSS")-memory) / costConnections
	t.Logf("a request takes %.0f ns of processor time, an idle connection %.0f bytes", perRequest, perConnection)
}
