package batcher

// release releases results at the upstreams that hold them.
func (o *Owner) release(s shard, handles []string) {
	if len(handles) == 0 {
		return
	}
	for u, held := range o.byHolder(s, handles) {
		if o.ctx.Err() != nil {
			return
		}
		o.wg.Go(func() {
			o.sendRelease(u, held)
			o.recordRelease(s, u.ID, held)
		})
	}
}
