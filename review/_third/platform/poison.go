package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// systemPart is the first part of all prompts, and poisonPart one that crashes servers.
	systemPart = "1f00aa01"
	poisonPart = "8c00bb02"
	// otherParts is the number of second parts of sound prompts, from firstOtherPart on.
	otherParts     = 40
	firstOtherPart = 0xd400cc03
	// downTime is after which time a crashed server is back.
	downTime = 3 * time.Second
	// shortStream and longStream are numbers of events of a stream, one every
	// eventInterval.
	shortStream   = 6
	longStream    = 70
	eventInterval = 30 * time.Millisecond
	prefillTime   = 100 * time.Millisecond
	// decidingCrash is the crash from which the rules count.
	decidingCrash = 5
	// maxPoisoned is the number of requests with the part that may reach servers after the
	// time.
	maxPoisoned = 3
	// minSound is the number of sound requests that have to be seen before and after.
	minSound = 20
)

// poison is the stand-ins' side of a prompt part that crashes servers.
type poison struct {
	// events is the number of events of a sound stream.
	events int
	// eventsBefore is the number of events that a server writes before it crashes.
	eventsBefore int
	isLethal     bool

	mu sync.Mutex
	// arrived holds when requests with the part reached servers.
	arrived, crashes []time.Time
}

// stream answers with a stream that has neither a length nor chunks and ends with its
// connection.
func (p *poison) stream(s *server) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		isPoisoned := strings.Contains(r.Header.Get("X-Prompt-Prefix"), poisonPart)
		if isPoisoned {
			p.mu.Lock()
			p.arrived = append(p.arrived, time.Now())
			p.mu.Unlock()
		}
		id := r.Header.Get("X-Request-Id")
		time.Sleep(prefillTime)
		conn := s.take(w)
		defer s.giveBack(conn)
		text := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id + "\r\nX-Instance-Id: " + s.id + "\r\nX-Response-Stamp: stamp-" + id + "\r\nX-Weight-Versions: 1\r\n\r\n"
		for i := range p.events {
			if isPoisoned && p.isLethal && i == p.eventsBefore {
				_, _ = io.WriteString(conn, text)
				p.crash(s, id)
				return
			}
			text += fmt.Sprintf("id: %d\ndata: some words\n\n", i+1)
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
			text = ""
			time.Sleep(eventInterval)
		}
	}
}

// crash ends the server that has begun to answer the request.
func (p *poison) crash(s *server, id string) {
	if !s.crash(downTime) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
	s.world.log("crash %d: %s crashes on %s", len(p.crashes), s.id, id)
}

// prompts sends streams with prompts of which the second part is the given one, or one of
// otherParts if it is empty.
func (w *world) prompts(interval time.Duration, part string, stop <-chan struct{}) <-chan []sent {
	return w.repeat(interval, stop, func(client *http.Client, f *front) sent {
		second := part
		if second == "" {
			second = fmt.Sprintf("%x", firstOtherPart+rand.IntN(otherParts))
		}
		prefix := fmt.Sprintf("%s:600,%s:300,%08x:110", systemPart, second, rand.Uint32())
		return w.send(client, f, http.MethodPost, "/draft/1", 5*time.Second, "X-Model", "m", "X-Token-Counts", "1010,24", "X-Prompt-Prefix", prefix)
	})
}

// lostBystanders checks LOST for sound prompts beside those that crash servers, which end
// before the first event of their answer.
func lostBystanders(w *world, hasTrouble bool) (int, error) {
	p := &poison{isLethal: hasTrouble, events: shortStream}
	began, sound, err := w.playPoison(p)
	if err != nil {
		return cannotRun, err
	}
	if !hasTrouble {
		// The same spans of time, without crashes.
		p.crashes = make([]time.Time, decidingCrash)
		for i := range p.crashes {
			p.crashes[i] = began.Add(time.Duration(i) * poisonInterval)
		}
	}
	if len(p.crashes) == 0 {
		return cannotRun, fmt.Errorf("no server crashed")
	}
	from := p.crashes[min(len(p.crashes), decidingCrash)-1].Add(2 * touch)
	ran := map[string]bool{}
	for _, s := range w.servers {
		for _, r := range s.allRuns() {
			ran[r.id] = true
		}
	}
	var before, beforeRan, after, afterRan int
	statuses := map[int]int{}
	for _, s := range sound {
		switch {
		case s.at.Before(began):
			before++
			if ran[s.id] {
				beforeRan++
			}
		case s.at.After(from):
			after++
			statuses[s.status]++
			if ran[s.id] {
				afterRan++
			}
		}
	}
	w.log("%d crashes, %d requests with the part reached servers; sound requests with the same first part: before the disruption %d of %d began, from 2 x touch_ms after the last counted crash %d of %d, with the statuses %v", len(p.crashes), len(p.arrived), beforeRan, before, afterRan, after, statuses)
	if before < minSound || after < minSound {
		return cannotRun, fmt.Errorf("too few sound requests")
	}
	isBroken := 2*afterRan*before < beforeRan*after
	if isBroken {
		w.log("LOST: sound requests begin less than half as often as before")
	}
	return verdict(isBroken), nil
}

// repeatedCrashes checks BUDGET for prompts that crash servers after the first event of
// their answer.
func repeatedCrashes(w *world, hasTrouble bool) (int, error) {
	p := &poison{isLethal: hasTrouble, events: longStream, eventsBefore: 1}
	if _, _, err := w.playPoison(p); err != nil {
		return cannotRun, err
	}
	late := 0
	if len(p.crashes) >= decidingCrash {
		fifth := p.crashes[decidingCrash-1]
		for _, at := range p.arrived {
			if at.After(fifth.Add(touch)) {
				late++
				w.log("BUDGET: a request with the part reached a server %d ms after the fifth crash", at.Sub(fifth).Milliseconds())
			}
		}
	}
	w.log("%d requests with the part reached servers, %d crashes; %d reached a server later than touch_ms after the fifth crash", len(p.arrived), len(p.crashes), late)
	return verdict(late > maxPoisoned), nil
}

const (
	calmTime       = 4 * time.Second
	poisonInterval = 500 * time.Millisecond
	poisonTime     = 20 * time.Second
)

// playPoison sends sound prompts, and from the returned time on others beside them.
func (w *world) playPoison(p *poison) (began time.Time, sound []sent, err error) {
	w.store.put("op", "config", manifest())
	if _, err := w.startServices(); err != nil {
		return began, nil, err
	}
	for _, s := range w.servers {
		if s.service == modelService {
			s.setHandler(p.stream(s))
		}
	}
	if err := w.startFronts(2); err != nil {
		return began, nil, err
	}
	stop := make(chan struct{})
	requests := w.prompts(25*time.Millisecond, "", stop)
	time.Sleep(calmTime)
	began = time.Now()
	poisoned := w.prompts(poisonInterval, poisonPart, stop)
	time.Sleep(poisonTime)
	close(stop)
	sound = <-requests
	<-poisoned
	p.mu.Lock()
	defer p.mu.Unlock()
	return began, sound, nil
}
