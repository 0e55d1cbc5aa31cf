package clemstandin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// acceptBacklog is the number of connections of a listener that may wait for
// Accept.
const acceptBacklog = 16

// Network is an in-memory network for tests under testing/synctest, where a
// goroutine that waits on a socket would keep the virtual time from advancing.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return &Network{listeners: map[string]*listener{}} }

// Listen returns a listener at the address. It replaces an earlier listener.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{network: n, address: address, pending: make(chan net.Conn, acceptBacklog), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Dial connects to a listener; it can serve as the DialContext of an
// http.Transport. Without a listener at the address, the connection is refused.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, dialError(network, syscall.ECONNREFUSED)
	}
	client, server := net.Pipe()
	select {
	case l.pending <- server:
		return client, nil
	case <-l.closed:
		return nil, dialError(network, syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, dialError(network, ctx.Err())
	}
}

func dialError(network string, err error) error {
	return &net.OpError{Op: "dial", Net: network, Err: err}
}

// Client returns an HTTP client that connects through the network.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial}}
}

// listener implements net.Listener.
type listener struct {
	network *Network
	address string
	pending chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.pending:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It closes connections that were not accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.remove(l)
		for {
			select {
			case conn := <-l.pending:
				_ = conn.Close()
			default:
				return
			}
		}
	})
	return nil
}

func (n *Network) remove(l *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.address] == l {
		delete(n.listeners, l.address)
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address implements net.Addr.
type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
