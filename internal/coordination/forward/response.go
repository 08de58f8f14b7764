package forward

import "github.com/sequoiavalve/sequoiavalve/internal/state/model"

// response passes the response to the caller. It alone knows whether the response has
// begun. From then on the caller can only get events and the end: a whole answer or a
// refusal would put its text into the stream, so the response is aborted instead.
type response struct {
	reply Reply
	begun bool // the caller has the status and the header of a stream
}

// events sends events of an engine whose answer has the given status and header. The
// caller gets those of the first engine only.
func (p *response) events(status int, header Header, raw []byte) {
	p.begin(status, header)
	p.reply.Events(raw)
}

// end completes a stream of an engine whose answer has the given status and header.
func (p *response) end(status int, header Header) {
	p.begin(status, header)
	p.reply.End()
}

func (p *response) begin(status int, header Header) {
	if !p.begun {
		p.begun = true
		p.reply.Begin(status, header)
	}
}

// answer sends a whole answer and returns true, or aborts a response that has begun.
func (p *response) answer(a Answer) (sent bool) {
	if p.begun {
		p.reply.Abort()
		return false
	}
	p.reply.Answer(a)
	return true
}

// refuse sends a refusal and returns true, or aborts a response that has begun.
func (p *response) refuse(refusal *model.Refusal) (sent bool) {
	if p.begun {
		p.reply.Abort()
		return false
	}
	p.reply.Refuse(refusal)
	return true
}
