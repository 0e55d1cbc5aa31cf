package clemops

import (
	"bufio"
	"context"
	"encoding/hex"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

func list(ctx context.Context, client clemwire.OperatorsClient) error {
	_, err := client.List(ctx, req(&clemwire.ListRequest{Kind: kindOrganisation}))
	return err
}

func TestAuthentication(t *testing.T) {
	b := newBench(t)
	require.NoError(t, list(t.Context(), b.ana(t)))
	require.NoError(t, list(t.Context(), b.client(t, "bearer "+benToken)), "schemes are case-insensitive")
	for name, header := range map[string]string{
		"no token":       "",
		"wrong token":    "Bearer " + anaToken + "x",
		"prefix":         "Bearer " + anaToken[:10],
		"empty token":    "Bearer ",
		"wrong scheme":   "Basic " + anaToken,
		"no scheme":      anaToken,
		"digest as text": "Bearer " + hex.EncodeToString(digest(anaToken)),
		"two tokens":     "Bearer " + anaToken + " " + benToken,
	} {
		t.Run(name, func(t *testing.T) {
			err := list(t.Context(), b.client(t, header))
			requireError(t, err, connect.CodeUnauthenticated, clementineturn.KindUnauthenticated, "")
			require.True(t, FromError(err).NotRun())
		})
	}
}

// Every procedure asks for a token.
func TestAuthenticationOfEveryProcedure(t *testing.T) {
	b := newBench(t)
	services := clemwire.File_operators_proto.Services()
	methods := services.Get(0).Methods()
	require.Positive(t, methods.Len())
	for i := range methods.Len() {
		name := string(methods.Get(i).Name())
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.url+"/clementineturn.v1.Operators/"+name, strings.NewReader("{}"))
		require.NoError(t, err)
		request.Header.Set("Content-Type", "application/json")
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusUnauthorized, response.StatusCode, name)
		require.Equal(t, "Bearer", response.Header.Get("WWW-Authenticate"), name)
	}
}

// A caller's API key opens no operators' path, and an operator's token that
// became an API key opens none any longer.
func TestKeysAndTokensApart(t *testing.T) {
	b := newBench(t)
	client := b.ana(t)
	_, err := client.Create(t.Context(), req(&clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}))
	require.NoError(t, err)
	added, err := client.AddKey(t.Context(), req(&clemwire.AddKeyRequest{Id: "2", Organisation: "acme", Name: "web"}))
	require.NoError(t, err)
	err = list(t.Context(), b.client(t, "Bearer "+added.Msg.GetSecret()))
	requireError(t, err, connect.CodeUnauthenticated, clementineturn.KindUnauthenticated, "")
	require.Nil(t, b.board.Config().Get().Holder(digest(anaToken)), "a token is no API key")

	// Another entry, whose settings do not name ben, let the digest through.
	b.handler.tokens = b.handler.tokens[:1]
	entity := organisation("other")
	entity.GetOrganisation().Keys = []*clemwire.Key{{Name: "k", Digest: digest(benToken)}}
	_, err = client.Create(t.Context(), req(&clemwire.CreateRequest{Id: "3", Entity: entity}))
	require.NoError(t, err)
	b.handler.tokens = append(b.handler.tokens, newOperator("ben", benToken))
	err = list(t.Context(), b.client(t, "Bearer "+benToken))
	requireError(t, err, connect.CodeUnauthenticated, clementineturn.KindUnauthenticated, "")
	require.Equal(t, 1, b.logs.FilterField(eventField(clemevent.OperatorShared)).Len())
}

// Tokens never reach the log.
func TestTokenNotLogged(t *testing.T) {
	b := newBench(t)
	require.Error(t, list(t.Context(), b.client(t, "Bearer wrong-secret-token")))
	require.Equal(t, 1, b.logs.FilterField(eventField(clemevent.OperatorRefused)).Len())
	for _, line := range b.logs.All() {
		for _, field := range line.Context {
			require.NotContains(t, field.String, "wrong-secret-token")
		}
	}
}

func TestMalformedBodies(t *testing.T) {
	b := newBench(t)
	for name, tc := range map[string]struct {
		body   string
		status int
	}{
		"broken JSON":    {`{"kind":`, http.StatusBadRequest},
		"empty body":     {``, http.StatusBadRequest},
		"empty object":   {`{}`, http.StatusOK},
		"unknown field":  {`{"knd": 1}`, http.StatusBadRequest},
		"bad UTF-8":      {"{\"id\": \"\xff\xfe\"}", http.StatusBadRequest},
		"oversized body": {`{"id": "` + strings.Repeat("x", maxMessage) + `"}`, http.StatusTooManyRequests},
	} {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.url+clemwire.OperatorsBurnProcedure, strings.NewReader(tc.body))
			require.NoError(t, err)
			request.Header.Set("Content-Type", "application/json")
			request.Header.Set("Authorization", "Bearer "+anaToken)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := client.Do(request)
			require.NoError(t, err)
			response.Body.Close()
			require.Equal(t, tc.status, response.StatusCode)
		})
	}
}

func TestPanicBecomesInternal(t *testing.T) {
	b := newBench(t)
	b.handler.ledger = nil
	_, err := b.ana(t).ShowClaim(t.Context(), req(&clemwire.ShowClaimRequest{Organisation: "acme", Key: "k"}))
	requireError(t, err, connect.CodeInternal, clementineturn.KindInternal, "")
	require.Equal(t, 1, b.logs.FilterField(eventField(clemevent.OperatorPanic)).Len())
}

// Every kind has a code, and crosses the wire with its field.
func TestEveryKindHasCode(t *testing.T) {
	for _, kind := range clementineturn.Kinds() {
		require.NotZero(t, codes[kind], kind.String())
		sent := clementineturn.NewError(clementineturn.ErrorConfig{Kind: kind, Field: "a.b", Message: "text", NotRun: true})
		got := FromError(connectError(sent))
		require.Equal(t, kind, got.Kind())
		require.Equal(t, "a.b", got.Field())
		require.True(t, got.NotRun())
	}
	require.Nil(t, FromError(nil))
}

// Connect's own errors, which carry no detail, still become kinds.
func TestErrorsOfConnect(t *testing.T) {
	for code, kind := range map[connect.Code]clementineturn.Kind{
		connect.CodeInvalidArgument:   clementineturn.KindInvalid,
		connect.CodeUnavailable:       clementineturn.KindUnavailable,
		connect.CodeDeadlineExceeded:  clementineturn.KindTimeout,
		connect.CodeResourceExhausted: clementineturn.KindTooLarge,
		connect.CodeUnimplemented:     clementineturn.KindNotFound,
		connect.CodeOutOfRange:        clementineturn.KindInternal,
	} {
		require.Equal(t, kind, FromError(connect.NewError(code, nil)).Kind(), code.String())
	}
}

// A caller that sends its body too slowly is cut off.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := clemstandin.NewNetwork()
		router := chi.NewRouter()
		New(Config{Board: clemboard.New(), Tokens: []Operator{newOperator("ana", anaToken)}}).Mount(router)
		server := &http.Server{Handler: router, ReadHeaderTimeout: time.Second}
		listener := network.Listen("entry")
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		start := time.Now()
		near, err := network.Dial(t.Context(), "tcp", "entry")
		require.NoError(t, err)
		_, err = near.Write([]byte("POST " + clemwire.OperatorsBurnProcedure + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n" +
			"Authorization: Bearer " + anaToken + "\r\nContent-Length: 100\r\n\r\n{"))
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(near), nil)
		require.NoError(t, err)
		require.NotEqual(t, http.StatusOK, response.StatusCode)
		require.Equal(t, maxTime, time.Since(start))
		require.NoError(t, near.Close())
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-served, http.ErrServerClosed)
	})
}
