package clemrouter

import (
	"strconv"
	"time"

	"go.uber.org/zap/zapcore"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clempool"
)

// attemptRecord describes one attempt in log lines: the state in which the
// server was chosen and the outcome.
type attemptRecord struct {
	server       string
	software     string
	load         int
	meanLoad     float64
	serverRank   int
	cachedTokens int
	prefillWait  time.Duration
	cacheSource  string
	outcome      clempool.Outcome
	elapsed      time.Duration
	err          error
}

// attemptLog encodes attempts for a log line.
type attemptLog []attemptRecord

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l attemptLog) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for _, record := range l {
		if err := encoder.AppendObject(record); err != nil {
			return err
		}
	}
	return nil
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r attemptRecord) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("server", r.server)
	if r.software != "" {
		encoder.AddString("software", r.software)
	}
	encoder.AddInt("load", r.load)
	encoder.AddFloat64("mean", r.meanLoad)
	encoder.AddInt("rank", r.serverRank)
	encoder.AddInt("kept", r.cachedTokens)
	encoder.AddDuration("wait", r.prefillWait)
	if r.cacheSource != "" {
		encoder.AddString("source", r.cacheSource)
	}
	encoder.AddString("outcome", r.outcome.String())
	encoder.AddDuration("elapsed", r.elapsed)
	if r.err != nil {
		encoder.AddString("error", r.err.Error())
	}
	return nil
}

// partLog encodes prompt parts for a log line.
type partLog []clementineturn.PromptPart

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l partLog) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for _, part := range l {
		encoder.AppendString(strconv.FormatUint(part.ID(), 16))
	}
	return nil
}
