package clemclaim_test

import (
	"context"
	"fmt"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemclaim"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// A payment runs once, and a second attempt gets the outcome of the first.
func ExampleClaimer() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ledger := clemclaim.NewLedger(clemclaim.LedgerConfig{Table: clemstandin.NewTable()})
	claimer := clemclaim.NewClaimer(clemclaim.ClaimerConfig{
		Ledger: ledger, Server: "order-1", Incarnation: 1,
		Locate: func(string) clementineturn.Peer { return nil },
	})
	ledgerEnd, claimerEnd := ledger.Start(ctx), claimer.Start(ctx)

	for _, attempt := range []string{"first", "second"} {
		grant, err := claimer.Acquire(ctx, &clemwire.Offer{
			Organisation: "shishu", Key: "payment-7", Attempt: attempt, Service: "orders", Call: "pay", Body: []byte("40"),
		})
		if err != nil {
			fmt.Println(err)
			return
		}
		if outcome := grant.Replay(); outcome != nil {
			fmt.Println("replayed:", string(outcome.GetBody()))
			continue
		}
		if err := grant.Begin(); err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println("paid")
		err = grant.Complete(ctx, &clemwire.Outcome{Status: 200, Body: []byte("receipt 1")})
		if err != nil {
			fmt.Println("pending:", err)
		}
	}
	stop()
	fmt.Println(<-claimerEnd, <-ledgerEnd)
	// Output:
	// paid
	// replayed: receipt 1
	// <nil> <nil>
}
