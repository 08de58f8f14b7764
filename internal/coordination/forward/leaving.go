package forward

// handleLeaving keeps new requests away from an upstream that says in an answer that it
// leaves. The mark counts at once, whether the store can be reached or not, and is final
// for this incarnation of the upstream.
func (r *activeRequest) handleLeaving(a *attempt) {
	if !r.m.opts.Upstreams.Leave(a.upstream.ID) {
		return
	}
	r.m.metrics.countLeaving(r.service.Name)
	r.m.opts.Log.WithField("request_id", string(r.req.ID)).WithField("upstream", string(a.upstream.ID)).
		WithField("service", r.service.Name).Info("upstream says that it leaves")
	r.m.opts.UpstreamLeft(a.upstream.ID)
}
