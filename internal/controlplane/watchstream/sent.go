package watchstream

// Sent tells what a delta that Next gave took on the wire, its question and all that is around it included: readers' buckets are of those
// bytes. Next reckons with records as they are, since it can't know how they are packed; what that was too much comes back, and what
// was too little is owed.
func (s *Source) Sent(name string, d *Delta, bytes int) {
	r := s.readers[name]
	if r == nil {
		return
	}
	reckoned := size(d.Records)
	for i := range d.Buckets {
		reckoned += d.Buckets[i].Size()
	}
	if bytes > reckoned {
		r.spend(bytes - reckoned)
		return
	}
	back := float64(reckoned - bytes)
	of := min(back, r.own.burst-r.own.tokens)
	r.own.tokens += of
	r.both.tokens = min(r.both.burst, r.both.tokens+back-of)
}
