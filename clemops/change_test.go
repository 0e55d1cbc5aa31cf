package clemops

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

const kindOrganisation = clemwire.EntityKind_ENTITY_KIND_ORGANISATION

func TestChangesAnswerWithGeneration(t *testing.T) {
	b := newBench(t)
	client := b.ana(t)
	created, err := client.Create(t.Context(), req(&clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}))
	require.NoError(t, err)
	require.EqualValues(t, 1, created.Msg.GetGeneration())

	changed := organisation("acme")
	changed.GetOrganisation().Weight, changed.GetOrganisation().Generation = 5, 1
	updated, err := client.Update(t.Context(), req(&clemwire.UpdateRequest{Id: "2", Entity: changed}))
	require.NoError(t, err)
	require.EqualValues(t, 2, updated.Msg.GetGeneration())

	listed, err := client.List(t.Context(), req(&clemwire.ListRequest{Kind: kindOrganisation}))
	require.NoError(t, err)
	require.EqualValues(t, 2, listed.Msg.GetGeneration())
	require.EqualValues(t, 5, listed.Msg.GetEntities()[0].GetOrganisation().GetWeight())

	drained, err := client.DrainServer(t.Context(), req(&clemwire.DrainServerRequest{Id: "3", Server: "srv-1"}))
	require.NoError(t, err)
	require.EqualValues(t, 3, drained.Msg.GetGeneration())
	require.True(t, b.board.Config().Get().Drained("srv-1"), "the process learns of its own change")
	undrained, err := client.UndrainServer(t.Context(), req(&clemwire.DrainServerRequest{Id: "4", Server: "srv-1"}))
	require.NoError(t, err)
	require.EqualValues(t, 4, undrained.Msg.GetGeneration())
	require.False(t, b.board.Config().Get().Drained("srv-1"))

	deleted, err := client.Delete(t.Context(), req(&clemwire.DeleteRequest{Id: "5", Kind: kindOrganisation, Name: "acme", Generation: 2}))
	require.NoError(t, err)
	require.EqualValues(t, 5, deleted.Msg.GetGeneration())
	change, err := b.handler.log.Next(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, "ana", change.GetAuthor())
}

// The platform's answer to a create is lost and the process restarts; the
// operator repeats the request elsewhere.
func TestCreateRepeated(t *testing.T) {
	b := newBench(t)
	b.table.Inject(clemstandin.TableFaults{LostAnswers: 1})
	message := &clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}
	first, err := b.ana(t).Create(t.Context(), req(message))
	require.NoError(t, err)
	other := newBench(t)
	other.handler.log = clemconfig.NewLog(clemconfig.LogConfig{Table: b.table})
	other.board.Config().Set(b.board.Config().Get())
	second, err := other.ana(t).Create(t.Context(), req(message))
	require.NoError(t, err)
	require.Equal(t, first.Msg.GetGeneration(), second.Msg.GetGeneration())
	require.EqualValues(t, 1, other.board.Config().Get().Generation())
}

// Two operators read the same generation and both update: one wins, the
// other gets a typed conflict.
func TestUpdateRace(t *testing.T) {
	b := newBench(t)
	_, err := b.ana(t).Create(t.Context(), req(&clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}))
	require.NoError(t, err)
	errs := make([]error, 2)
	clients := []clemwire.OperatorsClient{b.ana(t), b.client(t, "Bearer "+benToken)}
	var wg sync.WaitGroup
	for i, client := range clients {
		wg.Go(func() {
			entity := organisation("acme")
			entity.GetOrganisation().Weight, entity.GetOrganisation().Generation = uint32(10+i), 1
			_, errs[i] = client.Update(t.Context(), req(&clemwire.UpdateRequest{Id: fmt.Sprint("u", i), Entity: entity}))
		})
	}
	wg.Wait()
	loser := errs[0]
	if loser == nil {
		loser = errs[1]
	} else {
		require.NoError(t, errs[1])
	}
	requireError(t, loser, connect.CodeAborted, clementineturn.KindConflict, "")
	require.EqualValues(t, 2, b.board.Config().Get().Generation())
}

func TestAddKey(t *testing.T) {
	b := newBench(t)
	client := b.ana(t)
	_, err := client.Create(t.Context(), req(&clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}))
	require.NoError(t, err)
	added, err := client.AddKey(t.Context(), req(&clemwire.AddKeyRequest{Id: "2", Organisation: "acme", Name: "web"}))
	require.NoError(t, err)
	secret := added.Msg.GetSecret()
	require.True(t, strings.HasPrefix(secret, "ct-"))
	require.Equal(t, "acme", b.board.Config().Get().Holder(digest(secret)).GetName())
	row, err := b.table.Get(t.Context(), fmt.Sprintf("config/%020d", 2))
	require.NoError(t, err)
	require.NotContains(t, string(row.Value()), secret, "only the digest may be stored")

	_, err = client.AddKey(t.Context(), req(&clemwire.AddKeyRequest{Id: "2", Organisation: "acme", Name: "web"}))
	requireError(t, err, connect.CodeAlreadyExists, clementineturn.KindExists, "name")
	require.ErrorContains(t, err, "cannot be read again")
	_, err = client.AddKey(t.Context(), req(&clemwire.AddKeyRequest{Id: "3", Organisation: "acme", Name: "web"}))
	requireError(t, err, connect.CodeAlreadyExists, clementineturn.KindExists, "name")
	_, err = client.AddKey(t.Context(), req(&clemwire.AddKeyRequest{Id: "2", Organisation: "acme", Name: "other"}))
	requireError(t, err, connect.CodeFailedPrecondition, clementineturn.KindKeyReused, "id")
	for _, line := range b.logs.All() {
		require.NotContains(t, fmt.Sprint(line.ContextMap()), secret)
	}
}

// Keys added at the same time all survive, and repeats of one request make one key.
func TestAddKeyRace(t *testing.T) {
	b := newBench(t)
	_, err := b.ana(t).Create(t.Context(), req(&clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}))
	require.NoError(t, err)
	const keys = 4
	secrets := make([]string, keys)
	repeats := make([]error, keys)
	var wg sync.WaitGroup
	for i := range keys {
		client := b.ana(t)
		wg.Go(func() {
			added, err := client.AddKey(t.Context(), req(&clemwire.AddKeyRequest{Id: fmt.Sprint("k", i), Organisation: "acme", Name: fmt.Sprint("key-", i)}))
			require.NoError(t, err)
			secrets[i] = added.Msg.GetSecret()
		})
		wg.Go(func() {
			_, repeats[i] = client.AddKey(t.Context(), req(&clemwire.AddKeyRequest{Id: "same", Organisation: "acme", Name: "same"}))
		})
	}
	wg.Wait()
	made := 0
	for i := range keys {
		require.Equal(t, "acme", b.board.Config().Get().Holder(digest(secrets[i])).GetName())
		if repeats[i] == nil {
			made++
			continue
		}
		requireError(t, repeats[i], connect.CodeAlreadyExists, clementineturn.KindExists, "name")
	}
	require.Equal(t, 1, made)
	require.Len(t, b.board.Config().Get().Organisation("acme").GetKeys(), keys+1)
}

func TestChangeTableDown(t *testing.T) {
	b := newBench(t)
	b.board.Config().Set(clemconfig.Empty())
	b.table.Inject(clemstandin.TableFaults{Down: true})
	_, err := b.ana(t).Create(t.Context(), req(&clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}))
	requireError(t, err, connect.CodeUnavailable, clementineturn.KindUnavailable, "")
	require.True(t, FromError(err).NotRun())
	listed, err := b.ana(t).List(t.Context(), req(&clemwire.ListRequest{Kind: kindOrganisation}))
	require.NoError(t, err, "reading works on what the process holds")
	require.Empty(t, listed.Msg.GetEntities())
}

// Every malformed request is refused by the field's name.
func TestBadInput(t *testing.T) {
	b := newBench(t)
	c := b.ana(t)
	ctx := t.Context()
	_, err := c.Create(ctx, req(&clemwire.CreateRequest{Id: "seed", Entity: organisation("acme")}))
	require.NoError(t, err)
	heavy := organisation("heavy")
	heavy.GetOrganisation().Weight = 5000
	shared := organisation("shared")
	shared.GetOrganisation().Keys = []*clemwire.Key{{Name: "k", Digest: digest(benToken)}}
	outcome := func(o *clemwire.Outcome, ran bool) *clemwire.ResolveClaimRequest {
		return &clemwire.ResolveClaimRequest{Organisation: "acme", Key: "k", Ran: ran, Outcome: o}
	}
	cases := map[string]struct {
		field string
		call  func() error
	}{
		"create without id": {"id", func() error {
			_, err := c.Create(ctx, req(&clemwire.CreateRequest{Entity: organisation("x")}))
			return err
		}},
		"create without entity": {"entity", func() error { _, err := c.Create(ctx, req(&clemwire.CreateRequest{Id: "a"})); return err }},
		"create with bad name": {"organisation.name", func() error {
			_, err := c.Create(ctx, req(&clemwire.CreateRequest{Id: "a", Entity: organisation("A b")}))
			return err
		}},
		"create out of range": {"organisation.weight", func() error {
			_, err := c.Create(ctx, req(&clemwire.CreateRequest{Id: "a", Entity: heavy}))
			return err
		}},
		"create with token": {"organisation.keys[0].digest", func() error {
			_, err := c.Create(ctx, req(&clemwire.CreateRequest{Id: "a", Entity: shared}))
			return err
		}},
		"update without entity": {"entity", func() error { _, err := c.Update(ctx, req(&clemwire.UpdateRequest{Id: "a"})); return err }},
		"update generation 0": {"organisation.generation", func() error {
			_, err := c.Update(ctx, req(&clemwire.UpdateRequest{Id: "a", Entity: organisation("acme")}))
			return err
		}},
		"delete without kind": {"kind", func() error { _, err := c.Delete(ctx, req(&clemwire.DeleteRequest{Id: "a", Name: "acme"})); return err }},
		"delete without name": {"name", func() error {
			_, err := c.Delete(ctx, req(&clemwire.DeleteRequest{Id: "a", Kind: kindOrganisation}))
			return err
		}},
		"delete with long id": {"id", func() error {
			_, err := c.Delete(ctx, req(&clemwire.DeleteRequest{Id: strings.Repeat("x", 129), Kind: kindOrganisation, Name: "acme"}))
			return err
		}},
		"list without kind":    {"kind", func() error { _, err := c.List(ctx, req(&clemwire.ListRequest{})); return err }},
		"list of unknown kind": {"kind", func() error { _, err := c.List(ctx, req(&clemwire.ListRequest{Kind: 99})); return err }},
		"key without id": {"id", func() error {
			_, err := c.AddKey(ctx, req(&clemwire.AddKeyRequest{Organisation: "acme", Name: "k"}))
			return err
		}},
		"key with bad name": {"name", func() error {
			_, err := c.AddKey(ctx, req(&clemwire.AddKeyRequest{Id: "a", Organisation: "acme", Name: "K\r\nX"}))
			return err
		}},
		"drain without server": {"server", func() error { _, err := c.DrainServer(ctx, req(&clemwire.DrainServerRequest{Id: "a"})); return err }},
		"undrain with line break": {"server", func() error {
			_, err := c.UndrainServer(ctx, req(&clemwire.DrainServerRequest{Id: "a", Server: "s\n"}))
			return err
		}},
		"show without org": {"organisation", func() error { _, err := c.ShowClaim(ctx, req(&clemwire.ShowClaimRequest{Key: "k"})); return err }},
		"show without key": {"key", func() error {
			_, err := c.ShowClaim(ctx, req(&clemwire.ShowClaimRequest{Organisation: "acme"}))
			return err
		}},
		"resolve void and answer": {"outcome", func() error {
			_, err := c.ResolveClaim(ctx, req(outcome(&clemwire.Outcome{Status: 200}, false)))
			return err
		}},
		"resolve with bad status": {"outcome.status", func() error {
			_, err := c.ResolveClaim(ctx, req(outcome(&clemwire.Outcome{Status: 99}, true)))
			return err
		}},
		"resolve with bad media": {"outcome.media", func() error {
			_, err := c.ResolveClaim(ctx, req(outcome(&clemwire.Outcome{Status: 200, Media: "a\r\nb: c"}, true)))
			return err
		}},
		"resolve with long body": {"outcome.body", func() error {
			_, err := c.ResolveClaim(ctx, req(outcome(&clemwire.Outcome{Status: 200, Body: make([]byte, maxAnswer+1)}, true)))
			return err
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			requireError(t, tc.call(), connect.CodeInvalidArgument, clementineturn.KindInvalid, tc.field)
		})
	}
	_, err = c.AddKey(ctx, req(&clemwire.AddKeyRequest{Id: "a", Organisation: "nobody", Name: "k"}))
	requireError(t, err, connect.CodeNotFound, clementineturn.KindNotFound, "organisation")
	require.EqualValues(t, 1, b.board.Config().Get().Generation(), "no refused request makes a generation")
}
