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
	f := newFixture(t)
	client := f.anaClient(t)
	created, err := client.Create(t.Context(), newRequest(&clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}))
	require.NoError(t, err)
	require.EqualValues(t, 1, created.Msg.GetGeneration())

	changed := organisation("acme")
	changed.GetOrganisation().Weight, changed.GetOrganisation().Generation = 5, 1
	updated, err := client.Update(t.Context(), newRequest(&clemwire.UpdateRequest{Id: "2", Entity: changed}))
	require.NoError(t, err)
	require.EqualValues(t, 2, updated.Msg.GetGeneration())

	listed, err := client.List(t.Context(), newRequest(&clemwire.ListRequest{Kind: kindOrganisation}))
	require.NoError(t, err)
	require.EqualValues(t, 2, listed.Msg.GetGeneration())
	require.EqualValues(t, 5, listed.Msg.GetEntities()[0].GetOrganisation().GetWeight())

	drained, err := client.DrainServer(t.Context(), newRequest(&clemwire.DrainServerRequest{Id: "3", Server: "srv-1"}))
	require.NoError(t, err)
	require.EqualValues(t, 3, drained.Msg.GetGeneration())
	require.True(t, f.board.Config().Get().IsDraining("srv-1"), "the process applies its own change")
	undrained, err := client.UndrainServer(t.Context(), newRequest(&clemwire.DrainServerRequest{Id: "4", Server: "srv-1"}))
	require.NoError(t, err)
	require.EqualValues(t, 4, undrained.Msg.GetGeneration())
	require.False(t, f.board.Config().Get().IsDraining("srv-1"))

	deleted, err := client.Delete(t.Context(), newRequest(&clemwire.DeleteRequest{Id: "5", Kind: kindOrganisation, Name: "acme", Generation: 2}))
	require.NoError(t, err)
	require.EqualValues(t, 5, deleted.Msg.GetGeneration())
	change, err := f.handler.log.Next(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, "ana", change.GetAuthor())
}

// A create whose response from the table was lost is repeated at another entry.
// It must return the first generation and not create a second one.
func TestCreateRepeated(t *testing.T) {
	f := newFixture(t)
	f.table.Inject(clemstandin.TableFaults{LostAnswers: 1})
	message := &clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}
	first, err := f.anaClient(t).Create(t.Context(), newRequest(message))
	require.NoError(t, err)
	other := newFixture(t)
	other.handler.log = clemconfig.NewLog(clemconfig.LogConfig{Table: f.table})
	other.board.Config().Set(f.board.Config().Get())
	second, err := other.anaClient(t).Create(t.Context(), newRequest(message))
	require.NoError(t, err)
	require.Equal(t, first.Msg.GetGeneration(), second.Msg.GetGeneration())
	require.EqualValues(t, 1, other.board.Config().Get().Generation())
}

// Of two concurrent updates based on the same generation one succeeds and the
// other fails with KindConflict.
func TestUpdateRace(t *testing.T) {
	f := newFixture(t)
	_, err := f.anaClient(t).Create(t.Context(), newRequest(&clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}))
	require.NoError(t, err)
	errs := make([]error, 2)
	clients := []clemwire.OperatorsClient{f.anaClient(t), f.client(t, "Bearer "+benToken)}
	var wg sync.WaitGroup
	for i, client := range clients {
		wg.Go(func() {
			entity := organisation("acme")
			entity.GetOrganisation().Weight, entity.GetOrganisation().Generation = uint32(10+i), 1
			_, errs[i] = client.Update(t.Context(), newRequest(&clemwire.UpdateRequest{Id: fmt.Sprint("u", i), Entity: entity}))
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
	require.EqualValues(t, 2, f.board.Config().Get().Generation())
}

func TestAddKey(t *testing.T) {
	f := newFixture(t)
	client := f.anaClient(t)
	_, err := client.Create(t.Context(), newRequest(&clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}))
	require.NoError(t, err)
	added, err := client.AddKey(t.Context(), newRequest(&clemwire.AddKeyRequest{Id: "2", Organisation: "acme", Name: "web"}))
	require.NoError(t, err)
	secret := added.Msg.GetSecret()
	require.True(t, strings.HasPrefix(secret, "ct-"))
	require.Equal(t, "acme", f.board.Config().Get().OrganisationByKey(digest(secret)).GetName())
	row, err := f.table.Get(t.Context(), fmt.Sprintf("config/%020d", 2))
	require.NoError(t, err)
	require.NotContains(t, string(row.Value()), secret, "only the digest may be stored")

	_, err = client.AddKey(t.Context(), newRequest(&clemwire.AddKeyRequest{Id: "2", Organisation: "acme", Name: "web"}))
	requireError(t, err, connect.CodeAlreadyExists, clementineturn.KindExists, "name")
	require.ErrorContains(t, err, "cannot be read again")
	_, err = client.AddKey(t.Context(), newRequest(&clemwire.AddKeyRequest{Id: "3", Organisation: "acme", Name: "web"}))
	requireError(t, err, connect.CodeAlreadyExists, clementineturn.KindExists, "name")
	_, err = client.AddKey(t.Context(), newRequest(&clemwire.AddKeyRequest{Id: "2", Organisation: "acme", Name: "other"}))
	requireError(t, err, connect.CodeFailedPrecondition, clementineturn.KindKeyReused, "id")
	for _, line := range f.logs.All() {
		require.NotContains(t, fmt.Sprint(line.ContextMap()), secret)
	}
}

// Keys that are added concurrently are all kept, and concurrent repeats of one
// request add one key.
func TestAddKeyRace(t *testing.T) {
	f := newFixture(t)
	_, err := f.anaClient(t).Create(t.Context(), newRequest(&clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}))
	require.NoError(t, err)
	const keys = 4
	secrets := make([]string, keys)
	repeats := make([]error, keys)
	var wg sync.WaitGroup
	for i := range keys {
		client := f.anaClient(t)
		wg.Go(func() {
			added, err := client.AddKey(t.Context(), newRequest(&clemwire.AddKeyRequest{Id: fmt.Sprint("k", i), Organisation: "acme", Name: fmt.Sprint("key-", i)}))
			require.NoError(t, err)
			secrets[i] = added.Msg.GetSecret()
		})
		wg.Go(func() {
			_, repeats[i] = client.AddKey(t.Context(), newRequest(&clemwire.AddKeyRequest{Id: "same", Organisation: "acme", Name: "same"}))
		})
	}
	wg.Wait()
	made := 0
	for i := range keys {
		require.Equal(t, "acme", f.board.Config().Get().OrganisationByKey(digest(secrets[i])).GetName())
		if repeats[i] == nil {
			made++
			continue
		}
		requireError(t, repeats[i], connect.CodeAlreadyExists, clementineturn.KindExists, "name")
	}
	require.Equal(t, 1, made)
	require.Len(t, f.board.Config().Get().Organisation("acme").GetKeys(), keys+1)
}

func TestChangeTableDown(t *testing.T) {
	f := newFixture(t)
	f.board.Config().Set(clemconfig.Empty())
	f.table.Inject(clemstandin.TableFaults{Down: true})
	_, err := f.anaClient(t).Create(t.Context(), newRequest(&clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}))
	requireError(t, err, connect.CodeUnavailable, clementineturn.KindUnavailable, "")
	require.True(t, FromError(err).NotRun())
	listed, err := f.anaClient(t).List(t.Context(), newRequest(&clemwire.ListRequest{Kind: kindOrganisation}))
	require.NoError(t, err, "reads use the state held by the process")
	require.Empty(t, listed.Msg.GetEntities())
}

// A malformed request is refused with KindInvalid and the name of the field.
func TestBadInput(t *testing.T) {
	f := newFixture(t)
	c := f.anaClient(t)
	ctx := t.Context()
	_, err := c.Create(ctx, newRequest(&clemwire.CreateRequest{Id: "seed", Entity: organisation("acme")}))
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
			_, err := c.Create(ctx, newRequest(&clemwire.CreateRequest{Entity: organisation("x")}))
			return err
		}},
		"create without entity": {"entity", func() error { _, err := c.Create(ctx, newRequest(&clemwire.CreateRequest{Id: "a"})); return err }},
		"create with bad name": {"organisation.name", func() error {
			_, err := c.Create(ctx, newRequest(&clemwire.CreateRequest{Id: "a", Entity: organisation("A b")}))
			return err
		}},
		"create out of range": {"organisation.weight", func() error {
			_, err := c.Create(ctx, newRequest(&clemwire.CreateRequest{Id: "a", Entity: heavy}))
			return err
		}},
		"create with token": {"organisation.keys[0].digest", func() error {
			_, err := c.Create(ctx, newRequest(&clemwire.CreateRequest{Id: "a", Entity: shared}))
			return err
		}},
		"update without entity": {"entity", func() error { _, err := c.Update(ctx, newRequest(&clemwire.UpdateRequest{Id: "a"})); return err }},
		"update generation 0": {"organisation.generation", func() error {
			_, err := c.Update(ctx, newRequest(&clemwire.UpdateRequest{Id: "a", Entity: organisation("acme")}))
			return err
		}},
		"delete without kind": {"kind", func() error {
			_, err := c.Delete(ctx, newRequest(&clemwire.DeleteRequest{Id: "a", Name: "acme"}))
			return err
		}},
		"delete without name": {"name", func() error {
			_, err := c.Delete(ctx, newRequest(&clemwire.DeleteRequest{Id: "a", Kind: kindOrganisation}))
			return err
		}},
		"delete with long id": {"id", func() error {
			_, err := c.Delete(ctx, newRequest(&clemwire.DeleteRequest{Id: strings.Repeat("x", 129), Kind: kindOrganisation, Name: "acme"}))
			return err
		}},
		"list without kind":    {"kind", func() error { _, err := c.List(ctx, newRequest(&clemwire.ListRequest{})); return err }},
		"list of unknown kind": {"kind", func() error { _, err := c.List(ctx, newRequest(&clemwire.ListRequest{Kind: 99})); return err }},
		"key without id": {"id", func() error {
			_, err := c.AddKey(ctx, newRequest(&clemwire.AddKeyRequest{Organisation: "acme", Name: "k"}))
			return err
		}},
		"key with bad name": {"name", func() error {
			_, err := c.AddKey(ctx, newRequest(&clemwire.AddKeyRequest{Id: "a", Organisation: "acme", Name: "K\r\nX"}))
			return err
		}},
		"drain without server": {"server", func() error {
			_, err := c.DrainServer(ctx, newRequest(&clemwire.DrainServerRequest{Id: "a"}))
			return err
		}},
		"undrain with line break": {"server", func() error {
			_, err := c.UndrainServer(ctx, newRequest(&clemwire.DrainServerRequest{Id: "a", Server: "s\n"}))
			return err
		}},
		"show without org": {"organisation", func() error { _, err := c.ShowClaim(ctx, newRequest(&clemwire.ShowClaimRequest{Key: "k"})); return err }},
		"show without key": {"key", func() error {
			_, err := c.ShowClaim(ctx, newRequest(&clemwire.ShowClaimRequest{Organisation: "acme"}))
			return err
		}},
		"resolve void and answer": {"outcome", func() error {
			_, err := c.ResolveClaim(ctx, newRequest(outcome(&clemwire.Outcome{Status: 200}, false)))
			return err
		}},
		"resolve with bad status": {"outcome.status", func() error {
			_, err := c.ResolveClaim(ctx, newRequest(outcome(&clemwire.Outcome{Status: 99}, true)))
			return err
		}},
		"resolve with bad media": {"outcome.media", func() error {
			_, err := c.ResolveClaim(ctx, newRequest(outcome(&clemwire.Outcome{Status: 200, Media: "a\r\nb: c"}, true)))
			return err
		}},
		"resolve with long body": {"outcome.body", func() error {
			_, err := c.ResolveClaim(ctx, newRequest(outcome(&clemwire.Outcome{Status: 200, Body: make([]byte, maxAnswerBytes+1)}, true)))
			return err
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			requireError(t, tc.call(), connect.CodeInvalidArgument, clementineturn.KindInvalid, tc.field)
		})
	}
	_, err = c.AddKey(ctx, newRequest(&clemwire.AddKeyRequest{Id: "a", Organisation: "nobody", Name: "k"}))
	requireError(t, err, connect.CodeNotFound, clementineturn.KindNotFound, "organisation")
	require.EqualValues(t, 1, f.board.Config().Get().Generation(), "no refused request creates a generation")
}
