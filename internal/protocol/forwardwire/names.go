// Package forwardwire decodes and encodes the headers of forwarded requests. The
// field names differ between deployments and are given as Names.
package forwardwire

// Names holds the names of the header fields that callers, this system and upstreams
// exchange with a request. An empty name means that the deployment has no such field.
type Names struct {
	Request          string // the caller's ID of this attempt, echoed by upstreams
	TimeLeft         string // milliseconds for which the caller will wait
	CredentialScheme string // of the Authorization field
	LastEvent        string // position of the last event that the sender of the request has received
	Tokens           string // number of prompt tokens and maximum number of output tokens, separated by a comma
	PromptParts      string // parts of the prompt as ID:TOKENS, separated by commas

	Organisation     string // organisation that the request belongs to
	ExpectedUpstream string // ID of the only upstream that may run the request
	Answering        string // in an answer: ID of the upstream that sent it
	NotRun           string // in an answer: the upstream did not run the request
	Leaving          string // in an answer: the upstream takes no new requests
	Pause            string // in an answer with status 503: seconds for which the upstream wants no requests
	CopyTo           string // IP:port of the upstream that receives copies of the stream's memory
	CopyFrom         string // IP:port/ID of the memory copy to resume from

	// SystemOnly lists further fields that callers may not set, because upstreams
	// trust them to come from this system.
	SystemOnly []string
}

// Reserved returns the fields that are removed from callers' requests.
func (n Names) Reserved() []string {
	reserved := append([]string{n.Organisation, n.ExpectedUpstream, n.CopyTo, n.CopyFrom, "Authorization"}, n.SystemOnly...)
	return reserved
}
