package clempool

import "time"

const (
	// defaultPrefillTime is the time that an engine takes to read one prompt token, unless
	// the engines of a service turn out to differ from it.
	defaultPrefillTime = 14 * time.Microsecond
	// prefillTolerance is the share by which the measured time must differ from the default
	// to be used: differences below it are within the scatter of the measurement.
	prefillTolerance = 0.25
	// minPrefillTime and maxPrefillTime bound the measured time, so that a server that
	// answers from a cache that this entry does not know of, or hangs, cannot make the
	// estimate useless.
	minPrefillTime = 2 * time.Microsecond
	maxPrefillTime = 200 * time.Microsecond
	// minPrefillTokens is the number of tokens to read from which on a first event is used
	// for the measurement. With fewer, its time is mostly that of the first token.
	minPrefillTokens = 1024
	// prefillStep is the factor by which a first event moves the measured time towards its
	// own. Steps of equal size make the estimate the median, which outliers don't move.
	prefillStep = 1.05
	// minPrefillSamples is the number of first events before the measured time is used.
	minPrefillSamples = 12
	// firstTokenStep is the factor by which a first event of a short prompt moves the
	// measured time to the first token. Steps down are three times as large as steps up, so
	// that the estimate is the lower quartile: engines that are not held up.
	firstTokenStep = 1.02
)

// prefillRate measures the time that the engines of a service take to read one prompt
// token, from the times of first events. Deployments differ in it by more than five times.
// The directory's lock guards it.
type prefillRate struct {
	// firstToken is the estimated time to the first event of a prompt without tokens to
	// read, and perToken that of each token, both in nanoseconds. 0 means no estimate.
	firstToken, perToken float64
	samples              int
	// inUse is the time per token that is used, or 0 for the default.
	inUse time.Duration
}

// tokenTime returns the time that an engine takes to read one prompt token.
func (p *prefillRate) tokenTime() time.Duration {
	if p.inUse == 0 {
		return defaultPrefillTime
	}
	return p.inUse
}

// observe records that the first event came the given time after its request was sent to
// an engine with the given number of tokens to read before it.
func (p *prefillRate) observe(tokens int, elapsed time.Duration) {
	if tokens < minPrefillTokens {
		p.observeFirstToken(float64(elapsed) - float64(tokens)*float64(p.tokenTime()))
		return
	}
	sample := min(max((float64(elapsed)-p.firstToken)/float64(tokens), float64(minPrefillTime)), float64(maxPrefillTime))
	switch {
	case p.perToken == 0:
		p.perToken = float64(defaultPrefillTime)
	case sample > p.perToken:
		p.perToken *= prefillStep
	default:
		p.perToken /= prefillStep
	}
	if p.samples++; p.samples < minPrefillSamples {
		return
	}
	ratio := p.perToken / float64(defaultPrefillTime)
	if ratio < 1+prefillTolerance && ratio > 1-prefillTolerance {
		p.inUse = 0
		return
	}
	p.inUse = time.Duration(p.perToken)
}

func (p *prefillRate) observeFirstToken(sample float64) {
	switch {
	case sample <= 0:
	case p.firstToken == 0:
		p.firstToken = sample
	case sample > p.firstToken:
		p.firstToken *= firstTokenStep
	default:
		p.firstToken /= firstTokenStep * firstTokenStep * firstTokenStep
	}
}

// PrefillTimes returns the time that the engines of each service take to read one prompt
// token, as used for the choice of a server. Services without prompts are left out.
func (d *Directory) PrefillTimes() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	times := map[string]time.Duration{}
	for name, svc := range d.services {
		if svc.prefill.firstToken > 0 || svc.prefill.perToken > 0 {
			times[name] = svc.prefill.tokenTime()
		}
	}
	return times
}

// RecordFirstEvent records the first event of the response: the prompt has been read. Later
// calls have no effect.
func (l *Lease) RecordFirstEvent(now time.Time) {
	l.directory.mu.Lock()
	defer l.directory.mu.Unlock()
	if l.tokensAhead > 0 && l.cacheSource == "" && !l.isAtColdServer(now) {
		l.service.prefill.observe(l.tokensAhead, now.Sub(l.acquiredAt))
	}
	l.tokensAhead = 0
	l.promptRead()
}
