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

func listOrganisations(ctx context.Context, client clemwire.OperatorsClient) error {
	_, err := client.List(ctx, newRequest(&clemwire.ListRequest{Kind: kindOrganisation}))
	return err
}

func TestAuthentication(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, listOrganisations(t.Context(), f.anaClient(t)))
	require.NoError(t, listOrganisations(t.Context(), f.client(t, "bearer "+benToken)), "schemes are case-insensitive")
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
			err := listOrganisations(t.Context(), f.client(t, header))
			requireError(t, err, connect.CodeUnauthenticated, clementineturn.KindUnauthenticated, "")
			require.True(t, FromError(err).NotRun())
		})
	}
}

// Every procedure requires a token.
func TestAuthenticationOfEveryProcedure(t *testing.T) {
	f := newFixture(t)
	services := clemwire.File_operators_proto.Services()
	methods := services.Get(0).Methods()
	require.Positive(t, methods.Len())
	for i := range methods.Len() {
		name := string(methods.Get(i).Name())
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/clementineturn.v1.Operators/"+name, strings.NewReader("{}"))
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

// An API key does not authenticate an operator, and neither does an operator's
// token that is also an API key.
func TestAPIKeysAndTokensAreSeparate(t *testing.T) {
	f := newFixture(t)
	client := f.anaClient(t)
	_, err := client.Create(t.Context(), newRequest(&clemwire.CreateRequest{Id: "1", Entity: organisation("acme")}))
	require.NoError(t, err)
	added, err := client.AddKey(t.Context(), newRequest(&clemwire.AddKeyRequest{Id: "2", Organisation: "acme", Name: "web"}))
	require.NoError(t, err)
	err = listOrganisations(t.Context(), f.client(t, "Bearer "+added.Msg.GetSecret()))
	requireError(t, err, connect.CodeUnauthenticated, clementineturn.KindUnauthenticated, "")
	require.Nil(t, f.board.Config().Get().OrganisationByKey(digest(anaToken)), "a token is no API key")

	// An entry whose settings lack ben accepts the digest of his token as an API
	// key.
	f.handler.operators = f.handler.operators[:1]
	entity := organisation("other")
	entity.GetOrganisation().Keys = []*clemwire.Key{{Name: "k", Digest: digest(benToken)}}
	_, err = client.Create(t.Context(), newRequest(&clemwire.CreateRequest{Id: "3", Entity: entity}))
	require.NoError(t, err)
	f.handler.operators = append(f.handler.operators, newOperator("ben", benToken))
	err = listOrganisations(t.Context(), f.client(t, "Bearer "+benToken))
	requireError(t, err, connect.CodeUnauthenticated, clementineturn.KindUnauthenticated, "")
	require.Equal(t, 1, f.logs.FilterField(eventField(clemevent.OperatorTokenIsAPIKey)).Len())
}

// Tokens never reach the log.
func TestTokenNotLogged(t *testing.T) {
	f := newFixture(t)
	require.Error(t, listOrganisations(t.Context(), f.client(t, "Bearer wrong-secret-token")))
	require.Equal(t, 1, f.logs.FilterField(eventField(clemevent.OperatorRefused)).Len())
	for _, line := range f.logs.All() {
		for _, field := range line.Context {
			require.NotContains(t, field.String, "wrong-secret-token")
		}
	}
}

func TestMalformedBodies(t *testing.T) {
	f := newFixture(t)
	for name, tc := range map[string]struct {
		body   string
		status int
	}{
		"broken JSON":    {`{"kind":`, http.StatusBadRequest},
		"empty body":     {``, http.StatusBadRequest},
		"empty object":   {`{}`, http.StatusOK},
		"unknown field":  {`{"knd": 1}`, http.StatusBadRequest},
		"bad UTF-8":      {"{\"id\": \"\xff\xfe\"}", http.StatusBadRequest},
		"oversized body": {`{"id": "` + strings.Repeat("x", maxRequestBytes) + `"}`, http.StatusTooManyRequests},
	} {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+clemwire.OperatorsBurnProcedure, strings.NewReader(tc.body))
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
	f := newFixture(t)
	f.handler.ledger = nil
	_, err := f.anaClient(t).ShowClaim(t.Context(), newRequest(&clemwire.ShowClaimRequest{Organisation: "acme", Key: "k"}))
	requireError(t, err, connect.CodeInternal, clementineturn.KindInternal, "")
	require.Equal(t, 1, f.logs.FilterField(eventField(clemevent.OperatorRequestPanicked)).Len())
}

// Every kind has a Connect code, and the conversion to a Connect error and back
// keeps kind, field and NotRun.
func TestEveryKindHasCode(t *testing.T) {
	for _, kind := range clementineturn.Kinds() {
		require.NotZero(t, connectCodes[kind], kind.String())
		sent := clementineturn.NewError(clementineturn.ErrorConfig{Kind: kind, Field: "a.b", Message: "text", NotRun: true})
		got := FromError(connectError(sent))
		require.Equal(t, kind, got.Kind())
		require.Equal(t, "a.b", got.Field())
		require.True(t, got.NotRun())
	}
	require.Nil(t, FromError(nil))
}

// Errors that Connect itself creates have no detail; their kind follows from the
// code.
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

// A request whose body arrives too slowly ends after requestTimeout.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := clemstandin.NewNetwork()
		router := chi.NewRouter()
		New(Config{Board: clemboard.New(), Operators: []Operator{newOperator("ana", anaToken)}}).Mount(router)
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
		require.Equal(t, requestTimeout, time.Since(start))
		require.NoError(t, near.Close())
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-served, http.ErrServerClosed)
	})
}
