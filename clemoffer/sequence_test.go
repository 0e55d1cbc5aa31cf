package clemoffer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clembudget"
	"github.com/clementineturn/clementineturn/clemoffer"
	"github.com/clementineturn/clementineturn/clemwire"
)

func hosts(names ...string) []*clemwire.Host {
	var all []*clemwire.Host
	for _, name := range names {
		all = append(all, &clemwire.Host{Name: name})
	}
	return all
}

func drain(s *clemoffer.Sequence) []string {
	var offers []string
	for {
		host, eager, ok := s.Next()
		if !ok {
			return offers
		}
		offers = append(offers, fmt.Sprintf("%s eager=%t", host.GetName(), eager))
	}
}

// A request is first offered to every server that may have a free slot. Only
// then may it wait, at the best server.
func ExampleSequence() {
	s := clemoffer.New(clemoffer.Config{
		Ranked:      hosts("engine-2", "engine-1"),
		RetryBudget: clembudget.New(clembudget.Config{Burst: 10}),
	})
	for _, offer := range drain(s) {
		fmt.Println(offer)
	}
	// Output:
	// engine-2 eager=true
	// engine-1 eager=true
	// engine-2 eager=false
	// engine-1 eager=false
}

func TestSequenceWithoutBudget(t *testing.T) {
	s := clemoffer.New(clemoffer.Config{Ranked: hosts("a", "b", "c"), RetryBudget: clembudget.New(clembudget.Config{})})
	require.Equal(t, []string{"a eager=true", "a eager=false"}, drain(s))
}

func TestSequenceSkipsExcluded(t *testing.T) {
	s := clemoffer.New(clemoffer.Config{Ranked: hosts("a", "b"), RetryBudget: clembudget.New(clembudget.Config{Burst: 10})})
	host, _, _ := s.Next()
	s.Exclude(host.GetName())
	require.Equal(t, []string{"b eager=true", "b eager=false"}, drain(s))
}

// A request that a draining server refuses is offered elsewhere without using
// the retry budget.
func TestSequenceReplacesExcluded(t *testing.T) {
	s := clemoffer.New(clemoffer.Config{Ranked: hosts("a", "b", "c"), RetryBudget: clembudget.New(clembudget.Config{})})
	var offers []string
	for {
		host, eager, ok := s.Next()
		if !ok {
			break
		}
		offers = append(offers, fmt.Sprintf("%s eager=%t", host.GetName(), eager))
		if !eager && host.GetName() != "c" {
			s.Exclude(host.GetName())
		}
	}
	require.Equal(t, []string{"a eager=true", "a eager=false", "b eager=false", "c eager=false"}, offers)
}

func TestSequenceOfNoServers(t *testing.T) {
	require.Empty(t, drain(clemoffer.New(clemoffer.Config{RetryBudget: clembudget.New(clembudget.Config{})})))
}

func TestSequenceToOverloadedPool(t *testing.T) {
	budget := clembudget.New(clembudget.Config{Burst: 10})
	config := clemoffer.Config{Ranked: hosts("a", "b", "c"), RetryBudget: budget, Overloaded: true}
	require.Equal(t, []string{"a eager=false"}, drain(clemoffer.New(config)))
	s := clemoffer.New(config)
	host, _, _ := s.Next()
	s.Exclude(host.GetName())
	require.Equal(t, []string{"b eager=false"}, drain(s), "an offer to a server that is excluded does not count")
}
