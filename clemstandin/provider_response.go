package clemstandin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
)

func (b *Backend) respond(w http.ResponseWriter, r *http.Request, run Run) {
	drawn := b.drawFaults()
	if !b.simulateWork(r, drawn) {
		b.endRun(run, 0)
		return
	}
	status := http.StatusOK
	if drawn.ErrorRatio > 0 {
		status = http.StatusInternalServerError
	}
	b.endRun(run, status)
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\n", status, run.RequestID, run.Stamp)
	if value := w.Header().Get("Server-Leaving"); value != "" {
		head += "Server-Leaving: " + value + "\r\n"
	}
	head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(run.Body))
	switch {
	case drawn.ResetRatio > 0:
		sendRawAndClose(w, "", true)
	case drawn.GarbledRatio > 0:
		sendRawAndClose(w, garbledResponse, false)
	case drawn.TruncatedRatio > 0:
		sendRawAndClose(w, head+run.Body[:len(run.Body)/2], false)
	case drawn.ExtraResponseRatio > 0:
		sendRawAndClose(w, head+run.Body+head+run.Body, false)
	default:
		w.Header().Set("X-Response-Stamp", run.Stamp)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, run.Body)
	}
}

// sendRawAndClose sends data in place of a response and closes the connection,
// with a TCP reset if requested.
func sendRawAndClose(w http.ResponseWriter, data string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_, _ = io.WriteString(conn, data)
	_ = conn.Close()
}

// stream sends the events after the one from which the request resumes. The id
// of an event is its number, counted from 1, and its data names the request and the version of
// the server's software.
func (b *Backend) stream(w http.ResponseWriter, r *http.Request, run Run) {
	drawn := b.drawFaults()
	if drawn.ErrorRatio > 0 {
		b.endRun(run, http.StatusInternalServerError)
		w.Header().Set("X-Response-Stamp", run.Stamp)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	first, _ := strconv.Atoi(run.LastEventID)
	middle := first + 1 + (b.config.EventCount-first)/2
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Stamp", run.Stamp)
	for n := first + 1; n <= b.config.EventCount; n++ {
		if !b.simulateWork(r, drawn) {
			b.endRun(run, 0)
			return
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", n, run.RequestID, n, b.Version())
		if n == middle && drawn.ResetRatio+drawn.TruncatedRatio+drawn.GarbledRatio > 0 {
			b.endRun(run, 0)
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = http.NewResponseController(w).Flush()
	}
	b.endRun(run, http.StatusOK)
}
