package clemstandin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// backlog is the number of connections that may wait for Accept.
const backlog = 16

// Network is an in-memory network of listeners, for tests under
// testing/synctest, where sockets would stop virtual time.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return &Network{listeners: map[string]*listener{}} }

// Listen returns a listener at the address, in place of an earlier one.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{network: n, address: address, waiting: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Dial connects to a listener; it fits http.Transport's DialContext. An
// address without a listener refuses.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, dialError(network, syscall.ECONNREFUSED)
	}
	client, server := net.Pipe()
	select {
	case l.waiting <- server:
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

// Client returns an HTTP client on the network.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial}}
}

// listener implements net.Listener.
type listener struct {
	network *Network
	address string
	waiting chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.waiting:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that nobody accepted break.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.remove(l)
		for {
			select {
			case conn := <-l.waiting:
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
