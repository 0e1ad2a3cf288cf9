package distribution

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/monotonic"
)

// poll calls a relay once and applies the answer. retryAfter is the relay's, for CallBusy; age is an
// upper bound of the age of the relay's state.
func (f *Follower) poll(ctx context.Context, relay watchstream.Relay) (outcome watchstream.CallOutcome, retryAfter, age time.Duration) {
	f.mu.Lock()
	req := f.replica.SubscribeRequest()
	f.state.Polls++
	f.mu.Unlock()
	req.WaitMs = pollWait.Milliseconds()
	began := monotonic.Now()
	status, age, body, err := f.roundTrip(ctx, relay.Addr, &req)
	switch {
	case ctx.Err() != nil:
		return watchstream.CallFailed, 0, 0
	case err != nil:
		f.pollFailed(relay, err)
		if errors.Is(err, context.DeadlineExceeded) {
			return watchstream.CallTimedOut, 0, 0
		}
		return watchstream.CallFailed, 0, 0
	case status == http.StatusOK:
		outcome, age := f.applyDelta(relay, body)
		return outcome, 0, age
	case status == http.StatusNoContent:
		f.noteAnswer(relay, age)
		if monotonic.Now()-began < minPollInterval {
			sleep(ctx, minPollInterval) // the relay is shutting down or does not wait for changes
		}
		return watchstream.CallAnswered, 0, age
	}
	var rejected ResponseError
	if err := jsonCodec.Unmarshal(body, &rejected); err != nil || rejected.Reason == "" {
		f.pollFailed(relay, fmt.Errorf("relay answered with status %d: %.100q", status, body))
		return watchstream.CallFailed, 0, 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if rejected.RetryAfterMs > 0 {
		f.state.Busy++
		return watchstream.CallBusy, min(time.Duration(rejected.RetryAfterMs)*time.Millisecond, time.Minute), 0
	}
	f.noteRejected(relay, rejected.Reason, rejected.Detail)
	return watchstream.CallRejected, 0, 0
}

// roundTrip sends one request and returns the response with its body decompressed. age is that of the age
// header.
func (f *Follower) roundTrip(ctx context.Context, addr string, subscribe *watchstream.SubscribeRequest) (status int, age time.Duration, body []byte, err error) {
	payload, err := jsonCodec.Marshal(subscribe)
	if err != nil {
		return 0, 0, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollGrace)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+watchPath, bytes.NewReader(payload))
	if err != nil {
		return 0, 0, nil, err
	}
	req.Header["User-Agent"] = nil // omits the header, to save bytes
	req.Header.Set("Accept-Encoding", gzipEncoding)
	resp, err := f.transport.RoundTrip(req)
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return 0, 0, nil, err
	}
	defer resp.Body.Close()
	if f.ownTransport == nil {
		f.traffic.out.Add(uint64(len(payload)))
	}
	ageMs, _ := strconv.ParseInt(resp.Header.Get(ageHeader), 10, 64)
	counted := &countingReader{Reader: io.LimitReader(resp.Body, maxAnswerBytes)}
	body, err = readAll(counted, resp.Header.Get(encodingHeader) == gzipEncoding, maxAnswerBytes)
	if f.ownTransport == nil {
		f.traffic.in.Add(counted.n)
	}
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return resp.StatusCode, time.Duration(max(0, ageMs)) * time.Millisecond, body, err
}

// countingReader counts the bytes read from its Reader.
type countingReader struct {
	io.Reader
	n uint64
}

// Read implements io.Reader.
func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	c.n += uint64(n)
	return n, err
}

// applyDelta decodes and applies a delta, wakes the readers that wait for a change, and calls OnChange.
func (f *Follower) applyDelta(relay watchstream.Relay, body []byte) (outcome watchstream.CallOutcome, age time.Duration) {
	var d watchstream.Delta
	if err := jsonCodec.Unmarshal(body, &d); err != nil {
		f.mu.Lock()
		f.noteRejected(relay, watchstream.ReasonMalformed, err.Error())
		f.mu.Unlock()
		return watchstream.CallFailed, 0
	}
	f.mu.Lock()
	records, err := f.replica.ApplyDelta(&d)
	var rejected *watchstream.RejectedError
	if errors.As(err, &rejected) {
		f.noteRejected(relay, rejected.Reason, rejected.Why)
		f.mu.Unlock()
		return watchstream.CallRejected, 0
	}
	f.state.Deltas++
	f.state.Records += uint64(len(records))
	watermark := f.replica.Consistent()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	f.recordsChanged, f.positionChanged = f.recordsChanged || len(records) > 0, true
	age = time.Duration(max(0, d.AgeMs)) * time.Millisecond
	f.noteAnswer(relay, age)
	f.notify(Update{Records: records, Position: watermark.Position}, watermark)
	return watchstream.CallAnswered, age
}

// notify calls OnChange with an update, if there is anything new, and acknowledges what was applied.
func (f *Follower) notify(u Update, watermark watchstream.Watermark) {
	var err error
	if f.opt.OnChange != nil && (len(u.Records) > 0 || u.Full || u.Position != f.notified) {
		err = f.opt.OnChange(u)
		f.notified = u.Position
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.replica.RejectConfig(watermark.Config, err.Error())
		f.state.Rejected["config"]++
		f.log.Warn("configuration rejected", slog.String("reason", "FEED_BAD_CONFIG"), slog.Uint64("version", watermark.Config), slog.Any("error", err))
	}
	f.replica.MarkApplied(watermark)
}

// noteAnswer records which relay answered and when its state was fresh.
func (f *Follower) noteAnswer(relay watchstream.Relay, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Relay, f.state.Region = relay.ID, relay.Region
	f.freshAt = max(f.freshAt, monotonic.Now()-age)
}

// pollFailed counts and logs a poll without a usable answer.
func (f *Follower) pollFailed(relay watchstream.Relay, err error) {
	f.mu.Lock()
	f.state.Failed++
	f.mu.Unlock()
	f.log.Warn("stream poll failed", slog.String("reason", "FEED_FAILED"), slog.String("relay", relay.ID), slog.Any("error", err))
}

// noteRejected counts and logs a rejected request or delta. The caller holds mu.
func (f *Follower) noteRejected(relay watchstream.Relay, reason watchstream.Reason, detail string) {
	f.state.Rejected[string(reason)]++
	f.log.Warn("stream message rejected", slog.String("reason", "FEED_REFUSED"), slog.String("why", string(reason)), slog.String("relay", relay.ID), slog.String("text", detail))
}
