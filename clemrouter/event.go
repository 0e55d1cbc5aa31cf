package clemrouter

import (
	"bytes"
	"mime"
	"net/http"
	"strconv"
)

var (
	eventEnd  = []byte("\n\n")
	eventID   = []byte("id:")
	eventData = []byte("data:")
)

// mayBeEventStream reports whether the content type allows a response to be the rest of
// a stream.
func mayBeEventStream(header http.Header) bool {
	contentType := header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(contentType)
	return contentType == "" || err == nil && mediaType == "text/event-stream"
}

// eventSummary describes some complete events.
type eventSummary struct {
	text []byte
	// firstID and lastID are the ids of the first and the last event that have one.
	firstID, lastID string
	count           int
	// hasContent is set if an event has an id or data: others are comments or fields
	// that clients ignore. startsWithID and endsWithID are set if the first and the last
	// of these events has an id.
	hasContent, startsWithID, endsWithID bool
	// contentStart is the position in text of the first of these events, or its end.
	contentStart int
}

func summarizeEvents(text []byte) eventSummary {
	s := eventSummary{text: text}
	hasID, hasData := false, false
	start, position := 0, 0
	for line := range bytes.SplitSeq(bytes.TrimSuffix(text, eventEnd), []byte("\n")) {
		position += len(line) + 1
		id, isID := bytes.CutPrefix(line, eventID)
		switch {
		case len(line) == 0:
			s.endEvent(start, hasID, hasData)
			start, hasID, hasData = position, false, false
		case isID:
			hasID, s.lastID = true, string(bytes.TrimSpace(id))
			if s.firstID == "" {
				s.firstID = s.lastID
			}
		case bytes.HasPrefix(line, eventData):
			hasData = true
		}
	}
	s.endEvent(start, hasID, hasData)
	if !s.hasContent {
		s.contentStart = len(text)
	}
	return s
}

// areComments reports whether the text has only comments, which begin with a colon.
func areComments(text []byte) bool {
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// endEvent records the event that starts at the position.
func (s *eventSummary) endEvent(start int, hasID, hasData bool) {
	s.count++
	if !hasID && !hasData {
		return
	}
	if !s.hasContent {
		s.contentStart, s.startsWithID = start, hasID
	}
	s.hasContent, s.endsWithID = true, hasID
}

// isNextEvent reports whether an event with the id after may directly follow one
// with the id before. Ids that are not numbers are accepted.
func isNextEvent(before, after string) bool {
	b, errBefore := strconv.ParseUint(before, 10, 64)
	a, errAfter := strconv.ParseUint(after, 10, 64)
	return errBefore != nil || errAfter != nil || a == b+1
}
