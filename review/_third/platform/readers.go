package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is memory_mb of the site, which the fronts' settings state.
	memoryLimit = 284
	// strangers is the number of clients that are not controlled. They come in crowdTime.
	strangers = 800
	crowdTime = 14 * time.Second
	// failingOf20 of twenty requests fail at the model servers, with a body of failureSize
	// bytes.
	failingOf20 = 9
	failureSize = 1_000_000
	// clientSegment and clientWindow are the segment size and the receive buffer of their
	// sockets, as on a network link.
	clientSegment = 1460
	clientWindow  = 4096
	chatBudget    = 15 * time.Second
)

var residentLine = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// resident returns the resident memory of a process in MiB, 0 if it has ended.
func (f *front) resident() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.process.Process.Pid))
	if err != nil {
		return 0
	}
	found := residentLine.FindSubmatch(text)
	if found == nil {
		return 0
	}
	size, _ := strconv.Atoi(string(found[1]))
	return size / 1024
}

// slowReaders checks FAULT while clients that are not controlled send legal requests and do
// not read the answers. The platform ends a process that exceeds its memory.
func slowReaders(w *world, hasTrouble bool) (int, error) {
	w.store.put("op", "config", manifest(firstVersion, apiKey))
	if _, err := w.startServices(); err != nil {
		return cannotRun, err
	}
	failure := strings.Repeat("e", failureSize)
	for _, s := range w.servers {
		if s.service != modelService {
			continue
		}
		count := 0
		s.setHandler(func(out http.ResponseWriter, _ *http.Request) {
			time.Sleep(workTime)
			s.mu.Lock()
			count++
			isFailing := count%20 < failingOf20
			s.mu.Unlock()
			if isFailing {
				s.answer(out, http.StatusInternalServerError, failure)
				return
			}
			out.Header().Set("Content-Type", "text/event-stream")
			s.answer(out, http.StatusOK, "id: 1\ndata: some words\n\nid: 2\ndata: more words\n\n")
		})
	}
	if err := w.startFronts(1); err != nil {
		return cannotRun, err
	}
	f := w.fronts[0]
	order := w.send(newClient(), f, http.MethodPost, "/reserve/1", apiKey, 2*time.Second)
	if order.status != http.StatusOK {
		return cannotRun, fmt.Errorf("the first order got status %d", order.status)
	}

	ended := make(chan struct{})
	var crowd sync.WaitGroup
	peak, isKilled := 0, false
	for i := range strangers {
		crowd.Go(func() { w.stranger(f, i, hasTrouble, ended) })
		time.Sleep(crowdTime / strangers)
		used := f.resident()
		peak = max(peak, used)
		if i%100 == 0 {
			w.log("%d clients, %d MB", i, used)
		}
		if used > memoryLimit {
			w.log("the platform ends %s, which uses %d MB of %d, after %d clients", f.name, used, memoryLimit, i+1)
			_ = f.process.Process.Kill()
			_, _ = f.process.Process.Wait()
			isKilled = true
			break
		}
	}
	order = w.send(newClient(), f, http.MethodPost, "/reserve/1", apiKey, 2*time.Second)
	close(ended)
	crowd.Wait()
	w.log("the front used %d MB of %d; the order after that got status %d", peak, memoryLimit, order.status)
	if isKilled {
		w.log("FAULT: the process exceeded its memory")
	}
	return verdict(isKilled), nil
}

// stranger sends one request and reads the answer, unless it is slow, until the case ends.
func (w *world) stranger(f *front, number int, isSlow bool, ended <-chan struct{}) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, clientSegment)
			if failed == nil {
				failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientWindow)
			}
		})
		if err != nil {
			return err
		}
		return failed
	}}
	conn, err := dialer.Dial("tcp", f.clients)
	if err != nil {
		w.log("client %d: %v", number, err)
		return
	}
	defer conn.Close()
	id := fmt.Sprintf("%016x", w.requests.Add(1))
	w.log("sent %s to %s by client %d", id, f.name, number)
	fmt.Fprintf(conn, "POST /chat/1 HTTP/1.1\r\nHost: khat.example\r\nX-Request-Id: %s\r\nX-Model: m\r\nX-Token-Counts: 710,280\r\nX-Prompt-Prefix: 1f00aa01:100,8c00bb02:500,%08x:110\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nchat",
		id, number, chatBudget.Milliseconds(), apiKey)
	if !isSlow {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	<-ended
}
