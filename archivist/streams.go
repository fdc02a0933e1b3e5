package archivist

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/historian"
	"apricotspool/namer"
	"apricotspool/storer"
)

// StreamsPrefix is the key prefix of the streams in progress, one object for each daemon.
const StreamsPrefix = "streams/"

const (
	// startPeriod is how often a daemon that starts checks whether the lists of builds have been read.
	startPeriod = 50 * time.Millisecond
	// maxStreams bounds the streams in one object.
	maxStreams = 4000
)

// StreamsStore is the part of the object API that Streams uses.
type StreamsStore interface {
	Store
	Delete(ctx context.Context, key string, expect storer.Version) error
	List(ctx context.Context, prefix, after string, limit int) (storer.Page, error)
}

// Begun holds the streams of each service that each build has begun.
type Begun map[namer.Service]map[namer.Build][]historian.StreamKey

// Streams keeps the builds of this daemon's streams in progress in the object API while several builds serve, and learns at
// its start those of all daemons, which may have been killed together. What has begun since the last write is lost then. An
// object is never wrong, only old: the build of a stream doesn't change. Set the exported fields before Run.
type Streams struct {
	Store StreamsStore
	Host  namer.Host
	// InProgress returns the streams to keep; none while one build serves.
	InProgress func(ctx context.Context) (Begun, error)
	// Learn takes the streams that earlier processes have kept. It is called once.
	Learn func(Begun)
	// Several reports whether several builds are listed for any service; known is false before the lists have been read.
	Several func() (several, known bool)
	// Period is the time between two writes.
	Period func() time.Duration
	Log    zerolog.Logger

	once    sync.Once
	done    chan struct{}
	written []byte // value of the own object; nil if there is none
	version storer.Version
}

func (s *Streams) init() { s.once.Do(func() { s.done = make(chan struct{}) }) }

// Done returns a channel that is closed when Run has returned.
func (s *Streams) Done() <-chan struct{} {
	s.init()
	return s.done
}

// Run learns what earlier processes have kept, and keeps the streams in progress until ctx is done.
func (s *Streams) Run(ctx context.Context) error {
	s.init()
	defer close(s.done)
	if err := s.learn(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.Period()):
		}
		begun, err := s.InProgress(ctx)
		if err == nil {
			err = s.write(ctx, begun)
		}
		if err != nil && ctx.Err() == nil {
			s.Log.Warn().Err(err).Msg("streams-not-kept")
			s.version = 0 // read before the next write
		}
	}
}

// learn reads the streams of all daemons if several builds may have begun streams that can be taken up.
func (s *Streams) learn(ctx context.Context) error {
	for {
		several, known := s.Several()
		if known && !several {
			s.Learn(nil)
			return nil
		}
		if known {
			begun, err := s.read(ctx)
			if err == nil {
				s.Learn(begun)
				return nil
			}
			s.Log.Warn().Err(err).Msg("streams-not-read")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startPeriod):
		}
	}
}

func (s *Streams) read(ctx context.Context) (Begun, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all := Begun{}
	for after := ""; ; {
		page, err := s.Store.List(ctx, StreamsPrefix, after, 0)
		if err != nil {
			return nil, err
		}
		for _, object := range page.Objects {
			after = object.Key
			if object.Key == StreamsPrefix+string(s.Host) {
				s.written, s.version = object.Value, object.Version
			}
			begun, err := decodeBegun(object.Value)
			if err != nil {
				s.Log.Warn().Err(err).Str("key", object.Key).Msg("streams-refused")
				continue
			}
			all.add(begun)
		}
		if !page.More || len(page.Objects) == 0 {
			return all, nil
		}
	}
}

func (b Begun) add(other Begun) {
	for service, builds := range other {
		if b[service] == nil {
			b[service] = map[namer.Build][]historian.StreamKey{}
		}
		for build, keys := range builds {
			b[service][build] = append(b[service][build], keys...)
		}
	}
}

// write writes the streams in progress, or deletes the object if there are none.
func (s *Streams) write(ctx context.Context, begun Begun) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var value []byte
	if len(begun) > 0 {
		var err error
		if value, err = encodeBegun(begun); err != nil {
			return err
		}
	}
	if string(value) == string(s.written) {
		return nil
	}
	key := StreamsPrefix + string(s.Host)
	if s.version == 0 {
		object, err := s.Store.Get(ctx, key)
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			return err
		}
		s.version = object.Version
	}
	if value == nil {
		if err := s.Store.Delete(ctx, key, s.version); err != nil && !errors.Is(err, storer.ErrNotFound) {
			return err
		}
		s.written, s.version = nil, 0
		return nil
	}
	object, err := s.Store.Put(ctx, key, value, s.version)
	if err != nil {
		return err
	}
	s.written, s.version = value, object.Version
	return nil
}

func encodeBegun(begun Begun) ([]byte, error) {
	texts, n := map[namer.Service]map[namer.Build][]string{}, 0
	for service, builds := range begun {
		texts[service] = map[namer.Build][]string{}
		for build, keys := range builds {
			for _, key := range keys {
				if n++; n <= maxStreams {
					texts[service][build] = append(texts[service][build], strconv.FormatUint(uint64(key), 16))
				}
			}
		}
	}
	value, err := json.Marshal(texts)
	return value, errors.Wrap(err, "encode streams")
}

func decodeBegun(value []byte) (Begun, error) {
	var texts map[namer.Service]map[namer.Build][]string
	if err := json.Unmarshal(value, &texts); err != nil {
		return nil, errors.Wrap(err, "decode streams")
	}
	begun, n := Begun{}, 0
	for service, builds := range texts {
		begun[service] = map[namer.Build][]historian.StreamKey{}
		for build, keys := range builds {
			for _, text := range keys {
				key, err := strconv.ParseUint(text, 16, 64)
				if n++; err != nil || key == 0 || build == "" || n > maxStreams {
					return nil, errors.Errorf("stream %.20q of build %.20q, the %dth", text, build, n)
				}
				begun[service][build] = append(begun[service][build], historian.StreamKey(key))
			}
		}
	}
	return begun, nil
}
