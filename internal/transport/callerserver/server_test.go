package callerserver

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/access"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/call"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/frontend"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/debugserver"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer/devcert"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tlsfiles"
)

const (
	bodyLimit      = 1 << 10
	bodyTime       = 500 * time.Millisecond
	slowAnswerTime = 3 * bodyTime // time after which slowService answers
)

// digest returns the hex SHA-256 of a credential.
func digest(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// slowService answers after a time that exceeds the read limits.
type slowService struct{}

func (slowService) Send(ctx context.Context, _ model.Upstream, _ call.Request) (call.Response, error) {
	select {
	case <-time.After(slowAnswerTime):
		return call.Response{Status: http.StatusOK, Body: []byte("late")}, nil
	case <-ctx.Done():
		return call.Response{}, &call.SendError{Err: ctx.Err()}
	}
}

type noEndpoints struct{}

func (noEndpoints) Endpoints(string, time.Time) ([]model.Instance, time.Duration) {
	return nil, time.Second
}

// startServer starts a server with a document that requires credentials and
// returns its URL.
func startServer(t *testing.T, config *tls.Config) *url.URL {
	t.Helper()
	documents := document.NewTable()
	documents.Apply(&model.Document{
		Generation:        1,
		RequireCredential: true,
		Organisations:     []model.Organisation{{ID: "archive", CredentialSHA256: digest("caller secret")}},
		Services: []model.Service{{Name: "desk", Plan: model.VersionPlan{Target: "1"}, Routes: []model.Route{
			{Method: http.MethodPost, Path: "/slow", Idempotent: true, Timeout: 10 * slowAnswerTime},
		}}},
	})
	pool := worker.NewPool(worker.Options{Workers: 2})
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	operators := access.Operators{Documents: documents, CredentialSHA256: digest("operator secret")}
	s := New(Options{
		Address: "127.0.0.1:0",
		Frontend: frontend.New(frontend.Options{
			Instance:    "i1",
			Documents:   documents,
			Generations: generation.NewTable(),
			Calls: call.New(call.Options{
				Pool:    pool,
				Sender:  slowService{},
				Pick:    func(call.Request) (model.Upstream, bool) { return model.Upstream{ID: "desk1"}, true },
				Observe: func(model.Upstream, string, evidence.Observation) {},
			}),
		}),
		Endpoints: noEndpoints{},
		Metrics:   http.NotFoundHandler(),
		Debug: debugserver.NewHandler(debugserver.Options{
			Instance: "i1", Process: debugapi.ProcessEntry, Documents: documents, Instances: instance.NewTable(),
			Upstreams: upstream.NewTable(), Admit: operators.Admit, Log: logger,
		}),
		TLS:           config,
		MaxBodyBytes:  bodyLimit,
		HeaderTimeout: bodyTime,
		BodyTimeout:   bodyTime,
		Log:           logger,
	})
	assert.NilError(t, s.listen())
	address, err := s.http.Endpoint()
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- s.Start(context.Background()) }()
	t.Cleanup(func() {
		assert.NilError(t, s.http.Close())
		assert.NilError(t, <-ended)
		pool.Close()
	})
	return &url.URL{Scheme: address.Scheme, Host: address.Host}
}

// send sends a request and returns the response and its body.
func send(t *testing.T, client *http.Client, method, url, credential string, body io.Reader) (*http.Response, []byte) {
	t.Helper()
	request, err := http.NewRequest(method, url, body)
	assert.NilError(t, err)
	if credential != "" {
		request.Header.Set("Authorization", "Bearer "+credential)
	}
	response, err := client.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, text
}

// Guards against callers and operators that are served without a valid
// credential although the document requires one, and against a refusal whose
// outcome is not not_run.
func TestCredentials(t *testing.T) {
	base := startServer(t, nil).String()
	for _, test := range []struct {
		method, path, credential string
		status                   int
	}{
		{"POST", "/v1/completions", "", 401},
		{"POST", "/v1/chat/completions", "wrong", 401},
		{"POST", "/v1/completions", "operator secret", 401},
		{"GET", "/v1/endpoints", "", 401},
		{"POST", "/slow", "wrong", 401},
		{"GET", "/absent", "", 401},
		{"GET", "/v1/endpoints", "caller secret", 200},
		{"GET", debugapi.InstancesPath, "", 401},
		{"GET", debugapi.UpstreamsPath, "caller secret", 401},
		{"GET", debugapi.RequestPath + "i1-x", "wrong", 401},
		{"DELETE", debugapi.InstancesPath, "", 401},
		{"GET", debugapi.InstancesPath, "operator secret", 200},
		{"GET", "/healthz", "", 200},
		{"GET", "/readyz", "", 200},
	} {
		response, body := send(t, http.DefaultClient, test.method, base+test.path, test.credential, http.NoBody)
		assert.Equal(t, response.StatusCode, test.status, "%s %s %q: %s", test.method, test.path, test.credential, body)
		if test.status != http.StatusUnauthorized {
			continue
		}
		id, refusal, err := problem.Decode(response.Header, body)
		assert.NilError(t, err)
		assert.Equal(t, refusal.Code, problem.CodeCredentialRequired)
		assert.Equal(t, refusal.Outcome, model.OutcomeNotRun)
		assert.Equal(t, response.Header.Get("WWW-Authenticate"), "Bearer")
		assert.Assert(t, strings.HasPrefix(string(id), "i1-"), id)
	}
}

// Guards against a certificate that is not read again when its files change,
// and against plain HTTP where the settings require TLS.
func TestTLSFilesAreReadAgain(t *testing.T) {
	dir := t.TempDir()
	first, err := devcert.New(dir)
	assert.NilError(t, err)
	files, err := first.Issue("i1")
	assert.NilError(t, err)
	config, err := tlsfiles.Server(files.Cert, files.Key)
	assert.NilError(t, err)
	base := startServer(t, config)
	assert.Equal(t, base.Scheme, "https")
	get := func() error {
		roots, err := tlsfiles.Roots(files.CA)
		assert.NilError(t, err)
		return handshake(base.Host, roots)
	}
	assert.NilError(t, get())
	second, err := devcert.New(dir) // replaces the CA file
	assert.NilError(t, err)
	assert.ErrorContains(t, get(), "unknown authority")
	_, err = second.Issue("i1")
	assert.NilError(t, err)
	assert.NilError(t, get())
	assert.NilError(t, os.WriteFile(files.Key, []byte("broken"), 0o600))
	assert.NilError(t, get(), "a broken key file must not replace the last valid certificate")

	plain, err := http.Get("http://" + base.Host + "/healthz")
	assert.NilError(t, err)
	defer func() { _ = plain.Body.Close() }()
	assert.Equal(t, plain.StatusCode, http.StatusBadRequest)
}

// handshake requests /healthz over a new TLS connection.
func handshake(address string, roots *x509.CertPool) error {
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, DisableKeepAlives: true}}
	response, err := client.Get("https://" + address + "/healthz")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", response.Status)
	}
	return nil
}

// Guards against time limits for reading the request that abort the answer as
// well: an answer may take longer, over HTTP and over HTTPS.
func TestReadLimitsDoNotCutLongAnswers(t *testing.T) {
	files, config := issueCertificate(t)
	roots, err := tlsfiles.Roots(files.CA)
	assert.NilError(t, err)
	tlsClient := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	for name, test := range map[string]struct {
		base   *url.URL
		client *http.Client
	}{
		"http":  {startServer(t, nil), http.DefaultClient},
		"https": {startServer(t, config), tlsClient},
	} {
		t.Run(name, func(t *testing.T) {
			for range 2 { // the second request uses the same connection
				response, body := send(t, test.client, "POST", test.base.String()+"/slow", "caller secret", strings.NewReader("{}"))
				assert.Equal(t, response.StatusCode, http.StatusOK, "%s", body)
				assert.Equal(t, string(body), "late")
			}
		})
	}
}

func issueCertificate(t *testing.T) (devcert.Files, *tls.Config) {
	t.Helper()
	authority, err := devcert.New(t.TempDir())
	assert.NilError(t, err)
	files, err := authority.Issue("i1")
	assert.NilError(t, err)
	config, err := tlsfiles.Server(files.Cert, files.Key)
	assert.NilError(t, err)
	return files, config
}

// Guards against callers that hold a connection by sending slowly: a header, a
// body that is read, and a body of a refused request, which the server drains.
func TestSlowCallersAreCutOff(t *testing.T) {
	host := startServer(t, nil).Host
	const authorised = "Authorization: Bearer caller secret\r\n"
	for _, test := range []struct {
		name, sent string
		status     string // of the answer; empty for none
		code       string
	}{
		{"header", "POST /slow HTTP/1.1\r\nHost: x\r\n", "", ""},
		{"body", "POST /slow HTTP/1.1\r\nHost: x\r\n" + authorised + "Content-Length: 10\r\n\r\n12345", "408", problem.CodeBodyTooSlow},
		{"chunked body", "POST /slow HTTP/1.1\r\nHost: x\r\n" + authorised + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", "408", problem.CodeBodyTooSlow},
		{"body of a refused request", "POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n12345", "401", problem.CodeCredentialRequired},
		{"body of a debug request", "GET /debug/instances HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n12345", "401", problem.CodeCredentialRequired},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", host)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*bodyTime)))
			_, err = conn.Write([]byte(test.sent))
			assert.NilError(t, err)
			got, err := io.ReadAll(conn) // ends when the server closes the connection
			assert.NilError(t, err)
			if test.code != "" {
				assert.Assert(t, bytes.HasPrefix(got, []byte("HTTP/1.1 "+test.status)), "%s", got)
				assert.Assert(t, bytes.Contains(got, []byte(test.code)) && bytes.Contains(got, []byte(`"not_run"`)), "%s", got)
			}
		})
	}
}

// Guards against bodies and headers that are read beyond their limits, and
// against broken JSON that is answered with anything but a refusal.
func TestBadInput(t *testing.T) {
	base := startServer(t, nil).String()
	for _, test := range []struct {
		name, path, body string
		status           int
		code             string
	}{
		{"oversized call", "/slow", strings.Repeat("x", bodyLimit+1), 413, problem.CodeBodyTooLarge},
		{"oversized generation", "/v1/completions", `{"prompt":"` + strings.Repeat("x", bodyLimit) + `"}`, 413, problem.CodeBodyTooLarge},
		{"broken JSON", "/v1/completions", `{"model":"m","prompt":`, 400, problem.CodeInvalidRequest},
		{"deep nesting", "/v1/completions", `{"prompt":` + strings.Repeat("[", bodyLimit/2), 400, problem.CodeInvalidRequest},
		{"huge number", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":1e999}`, 400, problem.CodeInvalidRequest},
		{"not UTF-8", "/v1/completions", "{\"model\":\"\xff", 400, problem.CodeInvalidRequest},
	} {
		response, body := send(t, http.DefaultClient, "POST", base+test.path, "caller secret", strings.NewReader(test.body))
		assert.Equal(t, response.StatusCode, test.status, "%s: %s", test.name, body)
		_, refusal, err := problem.Decode(response.Header, body)
		assert.NilError(t, err)
		assert.Equal(t, refusal.Code, test.code, test.name)
		assert.Equal(t, refusal.Outcome, model.OutcomeNotRun, test.name)
	}
	response, _ := send(t, http.DefaultClient, "GET", base+"/v1/endpoints", strings.Repeat("x", 2*maxHeaderBytes), http.NoBody)
	assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
