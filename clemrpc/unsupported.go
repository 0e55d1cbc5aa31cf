package clemrpc

import (
	"context"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// UnimplementedPeer is a clementineturn.Peer that refuses every call with KindNotFound. Types
// embed it and implement the calls that their role serves.
type UnimplementedPeer struct{}

func unsupported(method string) error {
	return clementineturn.Refuse(clementineturn.KindNotFound, "this process does not serve %s", method)
}

// Offer implements clementineturn.Peer.
func (UnimplementedPeer) Offer(context.Context, *clemwire.Offer) (*clemwire.Verdict, error) {
	return nil, unsupported("Offer")
}

// Cancel implements clementineturn.Peer.
func (UnimplementedPeer) Cancel(context.Context, *clemwire.Cancel) (*clemwire.Cancelled, error) {
	return nil, unsupported("Cancel")
}

// Void implements clementineturn.Peer.
func (UnimplementedPeer) Void(context.Context, *clemwire.Void) (*clemwire.Voided, error) {
	return nil, unsupported("Void")
}

// Submit implements clementineturn.Peer.
func (UnimplementedPeer) Submit(context.Context, *clemwire.Submit) (*clemwire.Submitted, error) {
	return nil, unsupported("Submit")
}

// Fetch implements clementineturn.Peer.
func (UnimplementedPeer) Fetch(context.Context, *clemwire.Fetch, func(*clemwire.Frame) error) error {
	return unsupported("Fetch")
}

// Pull implements clementineturn.Peer.
func (UnimplementedPeer) Pull(context.Context, *clemwire.Pull) (*clemwire.Pulled, error) {
	return nil, unsupported("Pull")
}

// Beat implements clementineturn.Peer.
func (UnimplementedPeer) Beat(context.Context, *clemwire.Beat) (*clemwire.BeatReply, error) {
	return nil, unsupported("Beat")
}

// Probe implements clementineturn.Peer.
func (UnimplementedPeer) Probe(context.Context) (*clemwire.Probed, error) {
	return nil, unsupported("Probe")
}

// Gather implements clementineturn.Peer.
func (UnimplementedPeer) Gather(context.Context) (*clemwire.Gathered, error) {
	return nil, unsupported("Gather")
}

// Share implements clementineturn.Peer.
func (UnimplementedPeer) Share(context.Context, *clemwire.Share) (*clemwire.Share, error) {
	return nil, unsupported("Share")
}
