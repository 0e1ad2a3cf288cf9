package watchstream

// DeltaSent tells what a delta that Next gave took on the wire, its question and all that is around it included: readers' buckets are of those
// bytes. Next reckons with records as they are, since it can't know how they are packed; what that was too much comes back, and what
// was too little is owed.
func (s *Source) DeltaSent(name string, d *Delta, bytes int) {
	r := s.readers[name]
	if r == nil {
		return
	}
	reckoned := recordsSize(d.Records)
	for i := range d.Buckets {
		reckoned += d.Buckets[i].Size()
	}
	if bytes > reckoned {
		r.spendTargetBytes(bytes - reckoned)
		return
	}
	back := float64(reckoned - bytes)
	of := min(back, r.targetTokens.burst-r.targetTokens.tokens)
	r.targetTokens.tokens += of
	r.sharedTokens.tokens = min(r.sharedTokens.burst, r.sharedTokens.tokens+back-of)
}
