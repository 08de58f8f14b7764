package operator

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/bearer"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tlsfiles"
)

const (
	// maxAnswerBytes limits the answer of a daemon. 3,500 upstreams take 1.2 MiB.
	maxAnswerBytes = 16 << 20
	// maxCredentialBytes limits the file with the operators' credential.
	maxCredentialBytes = 4 << 10
	// maxAgeSeconds caps an age, so that the conversion to a Duration does not
	// overflow.
	maxAgeSeconds = 1e9
)

// daemonFlags say how to reach the debug address of a daemon.
type daemonFlags struct {
	CA             string `name:"ca" help:"PEM file of the CA that signed the daemons' certificates; the system's CAs otherwise." env:"SVCTL_CA" placeholder:"FILE"`
	CredentialFile string `help:"File with the operators' credential." env:"SVCTL_CREDENTIAL_FILE" placeholder:"FILE"`
}

// daemon is the debug address of one entry or control process.
type daemon struct {
	flag string // name of the flag with the URL
	url  string
}

// getDebug requests one path of the debug API and decodes the answer into a
// struct.
func (r *invocation) getDebug(d daemon, path string, into any) error {
	client, err := r.daemonClient()
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	address, err := url.JoinPath(d.url, path)
	if err != nil {
		return trace.BadParameter("%s must be a URL such as http://10.0.0.1:7000, not %q", d.flag, d.url)
	}
	request, err := http.NewRequestWithContext(r.ctx, http.MethodGet, address, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	credential, err := r.credential()
	if err != nil {
		return err
	}
	bearer.Set(request, credential)
	answer, err := client.Do(request)
	if err != nil {
		return trace.Errorf("%s %s does not answer: %v", d.flag, d.url, rootCause(err))
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil {
		return trace.Errorf("%s %s broke off its answer: %v", d.flag, d.url, err)
	}
	if len(body) > maxAnswerBytes {
		return trace.Errorf("the answer of %s %s is larger than %d bytes", d.flag, d.url, maxAnswerBytes)
	}
	return d.decode(answer, body, into)
}

// rootCause removes the method and the URL from an error of the HTTP client: the
// messages name the URL already.
func rootCause(err error) error {
	var failed *url.Error
	if errors.As(err, &failed) {
		return failed.Err
	}
	return err
}

func (d daemon) decode(answer *http.Response, body []byte, into any) error {
	if answer.StatusCode != http.StatusOK {
		if _, refusal, err := problem.Decode(answer.Header, body); err == nil {
			return trace.Errorf("%s %s refused: %v", d.flag, d.url, refusal)
		}
		return trace.Errorf("%s %s answered with status %s", d.flag, d.url, answer.Status)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return trace.Errorf("%s %s answered with invalid JSON: %v", d.flag, d.url, err)
	}
	return nil
}

func (r *invocation) daemonClient() (*http.Client, error) {
	transport := &http.Transport{}
	if name := r.flags.CA; name != "" {
		roots, err := tlsfiles.Roots(name)
		if err != nil {
			return nil, trace.BadParameter("--ca must be a PEM file with a CA certificate, not %q: %v", name, err)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots}
	}
	return &http.Client{Transport: transport}, nil
}

// credential reads the operators' credential from its file; it returns "" if no
// file is given. It cannot be given on the command line, which other users
// of the machine can see.
func (r *invocation) credential() (string, error) {
	name := r.flags.CredentialFile
	if name == "" {
		return "", nil
	}
	file, err := os.Open(name)
	if err != nil {
		return "", trace.BadParameter("--credential-file must be a readable file, not %q: %v", name, rootPathError(err))
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxCredentialBytes+1))
	if err != nil {
		return "", trace.BadParameter("--credential-file must be a readable file, not %q: %v", name, rootPathError(err))
	}
	text = bytes.TrimSpace(text)
	if len(text) == 0 || len(text) > maxCredentialBytes || bytes.ContainsAny(text, "\r\n\x00") {
		return "", trace.BadParameter("--credential-file must hold one line of 1 to %d bytes, which %q does not", maxCredentialBytes, name)
	}
	return string(text), nil
}

// rootPathError removes the operation and the path from an error of a file.
func rootPathError(err error) error {
	var failed *os.PathError
	if errors.As(err, &failed) {
		return failed.Err
	}
	return err
}

// viewerText describes the process whose view a list shows, and the age of that
// view.
func viewerText(v debugapi.Viewer) string {
	text := fmt.Sprintf("as seen by the %s process of %s in %s at %s, document generation %d",
		v.Process, v.Instance, v.Environment, timeText(v.At), v.Generation)
	if v.Process != debugapi.ProcessEntry {
		return text
	}
	if v.ViewAge == nil {
		return text + ", never in touch with its control process"
	}
	return text + ", in touch with its control process " + ageText(v.ViewAge) + " ago"
}

// ageText prints an age in seconds, or a dash for none.
func ageText(seconds *float64) string {
	if seconds == nil {
		return "-"
	}
	age := time.Duration(min(max(*seconds, 0), maxAgeSeconds) * float64(time.Second))
	if age < time.Second {
		return age.Round(time.Millisecond).String()
	}
	return age.Round(100 * time.Millisecond).String()
}
