package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// reply is what a consumer got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends one request on a new channel and reads the answer.
func send(address, method, path, id, key string, deadline time.Duration, headers string) reply {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	return sendOn(conn, bufio.NewReader(conn), method, path, id, key, deadline, headers)
}

// sendOn sends one request on a kept channel and reads the answer.
func sendOn(conn net.Conn, reader *bufio.Reader, method, path, id, key string, deadline time.Duration, headers string) reply {
	_ = conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s", method, path, id, deadline.Milliseconds(), key, headers)
	if method == http.MethodPost {
		text += "Content-Length: 2\r\n\r\n{}"
	} else {
		text += "\r\n"
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return reply{err: err}
	}
	return readReply(reader, method)
}

// sendBody sends a request with a body of the size on a new channel and reads the answer.
func sendBody(address, path, id, key string, deadline time.Duration, size int) reply {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", path, id, deadline.Milliseconds(), key, size)
	if _, err := conn.Write(append([]byte(head), bytes.Repeat([]byte("x"), size)...)); err != nil {
		return reply{err: err}
	}
	return readReply(bufio.NewReader(conn), http.MethodPost)
}

func readReply(reader *bufio.Reader, method string) reply {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}
