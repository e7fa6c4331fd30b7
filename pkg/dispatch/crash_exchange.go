package dispatch

func keys(evidence []CrashEvidence) []string {
	out := make([]string, len(evidence))
	for i, e := range evidence {
		out[i] = e.key()
	}
	return out
}

func firstSubjects(subjects []*crashSubject, n int) []CrashEvidence {
	subjects = subjects[:min(n, len(subjects))]
	evidence := make([]CrashEvidence, len(subjects))
	for i, p := range subjects {
		evidence[i] = p.CrashEvidence
	}
	return evidence
}

// AddOwn adds the suspect subjects and those cleared lately to the items of a load report.
func (s *CrashSuspects) AddOwn(items map[string]float32) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	for _, e := range firstSubjects(s.byPriority(func(p *crashSubject) bool {
		return p.suspect() || p.Crashes == 0 && p.wasSuspect && now-p.changedAt <= reportClearedFor
	}), maxReportedSubjects) {
		items[e.key()] = 1
	}
}

// ApplyPeers merges the evidence of other instances from the items of their load reports.
func (s *CrashSuspects) ApplyPeers(items map[string]float32) {
	var evidence []CrashEvidence
	for key := range items {
		if e, ok := parseCrashEvidence(key); ok {
			evidence = append(evidence, e)
		}
	}
	if len(evidence) > 0 {
		s.merge(evidence)
	}
}

// News returns what is new since its last call, the most important first, as keys for other instances.
func (s *CrashSuspects) News() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	untold := s.byPriority(func(p *crashSubject) bool { return p.untold })
	for _, p := range untold {
		p.untold = false
	}
	return keys(firstSubjects(untold, maxRumorSubjects))
}

// Hear merges the news of another instance, and returns what this instance knows better.
func (s *CrashSuspects) Hear(keys []string) (newer []string) {
	var evidence []CrashEvidence
	for _, key := range keys {
		if e, ok := parseCrashEvidence(key); ok {
			evidence = append(evidence, e)
		}
	}
	return s.merge(evidence)
}

// merge adds the evidence of another instance, and returns that of this instance which is newer.
func (s *CrashSuspects) merge(evidence []CrashEvidence) (newer []string) {
	now := s.Clock.Now()
	s.mu.Lock()
	news := false
	for _, e := range evidence[:min(len(evidence), maxCrashSubjects/2)] {
		e.Crashes = min(e.Crashes, maxCrashCount)
		if s.subjects[e.Subject] == nil && e == (CrashEvidence{Subject: e.Subject}) {
			continue
		}
		p := s.subject(e.Subject, now)
		together := p.merge(e)
		if together != p.CrashEvidence {
			s.set(p, together, now)
			news = true
			s.logSuspect(p, "peer")
		}
		if together != e && len(newer) < maxRumorSubjects {
			newer = append(newer, p.key())
		}
	}
	s.mu.Unlock()
	s.notify(news)
	return newer
}

func (s *CrashSuspects) notify(news bool) {
	if news && s.OnNews != nil {
		s.OnNews()
	}
}

func (s *CrashSuspects) notifyOwn(news bool) {
	s.notify(news)
	if news && s.OnOwnNews != nil {
		s.OnOwnNews()
	}
}

// Kept returns the evidence that has to outlive all instances: on subjects that have gone on crashing upstreams since they were suspect.
func (s *CrashSuspects) Kept() []string {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	return keys(firstSubjects(s.byPriority(func(p *crashSubject) bool { return p.suspect() && p.Crashes >= keptCrashes }), maxKeptSubjects))
}
