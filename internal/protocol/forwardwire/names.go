// Package forwardwire reads and writes the headers of forwarded requests. The
// names of the fields are those of a deployment, given as Names.
package forwardwire

// Names are the header fields by which callers, this system and upstreams tell
// each other about a request. An empty name means that the deployment has none.
type Names struct {
	Request          string // the caller's ID of this attempt, echoed by upstreams
	TimeLeft         string // milliseconds for which the caller will wait
	CredentialScheme string // of the Authorization field
	LastEvent        string // position of the last event that the reader has
	Tokens           string // prompt tokens and most output tokens, separated by a comma
	PromptParts      string // parts of the prompt as ID:TOKENS, separated by commas

	Organisation     string // that the request belongs to
	ExpectedUpstream string // ID of the only upstream that may run the request
	Answering        string // in an answer: ID of the upstream that gives it
	NotRun           string // in an answer: the upstream did not run the request
	CopyTo           string // IP:port of the upstream that receives copies of the memory
	CopyFrom         string // IP:port/ID of a copy to go on from

	// SystemOnly lists further fields that callers may not set, since upstreams
	// take them as the system's word.
	SystemOnly []string
}

// Reserved returns the fields that are dropped from callers' requests.
func (n Names) Reserved() []string {
	reserved := append([]string{n.Organisation, n.ExpectedUpstream, n.CopyTo, n.CopyFrom, "Authorization"}, n.SystemOnly...)
	return reserved
}
