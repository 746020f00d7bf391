package plan

import "time"

// Recalled records that an attempt was taken back before anything of it was sent.
func (p *Plan) Recalled(i int, target string) { p.shards[i].ended(target, false) }

// End makes now the end of the request: no attempt is due any more, and Decide returns the
// decision that the responses so far allow.
func (p *Plan) End(now time.Time) {
	p.hasEnded = true
	o := &p.opts
	o.PartialAt, o.LatePartialAt = earlier(o.PartialAt, now), earlier(o.LatePartialAt, now)
	o.SendBy, o.Deadline = earlier(o.SendBy, now), earlier(o.Deadline, now)
}
