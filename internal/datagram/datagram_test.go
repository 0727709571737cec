package datagram

import (
	"errors"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

type element struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // makes the codec write an array without field names
	Name     string
	Counts   []int64
	Extra    map[string]float64
}

type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // makes the codec write an array without field names
	From     string
	Elements []element
	Raw      []msgpack.RawMessage
	At       time.Time
	Blob     []byte
}

func encoded(t testing.TB) []byte {
	t.Helper()
	raw, err := msgpack.Marshal([]any{nil, true, -1, math.MaxUint32, math.MinInt64, float32(1), 1.5})
	if err != nil {
		t.Fatal(err)
	}
	content, err := msgpack.Marshal(&message{
		From: "127.0.0.1:9000", At: time.Unix(1, 1), Blob: make([]byte, 300), Raw: []msgpack.RawMessage{raw, raw},
		Elements: []element{{Name: "a", Counts: []int64{1, -200, 70_000, 1 << 40}, Extra: map[string]float64{"x": 1}}, {}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func TestCompleteMessageIsDecoded(t *testing.T) {
	var got message
	if err := Unmarshal(encoded(t), &got); err != nil || got.From != "127.0.0.1:9000" || len(got.Elements) != 2 || len(got.Raw) != 2 || got.Elements[0].Counts[3] != 1<<40 {
		t.Errorf("got %+v, error %v", got, err)
	}
}

func TestTruncatedMessageIsRefused(t *testing.T) {
	content := encoded(t)
	for n := range content {
		if err := Unmarshal(content[:n], &message{}); !errors.Is(err, ErrLength) {
			t.Fatalf("first %d bytes: got error %v, want ErrLength", n, err)
		}
	}
}

// TestStatedLengthIsAllocated guards against messages whose stated lengths are allocated before
// their content has arrived.
func TestStatedLengthIsAllocated(t *testing.T) {
	for name, content := range map[string][]byte{
		"text":      {0x93, 0xdb, 0xff, 0xff, 0xff, 0xff},
		"list":      {0x93, 0xa1, 'a', 0xdd, 0x00, 0x0f, 0xff, 0xff},
		"list 2^32": {0x93, 0xa1, 'a', 0xdd, 0xff, 0xff, 0xff, 0xff},
		"raw list":  {0x93, 0xa1, 'a', 0x90, 0xdd, 0x00, 0x0f, 0xff, 0xff},
		"map":       {0x93, 0xa1, 'a', 0x91, 0x93, 0xa1, 'a', 0x90, 0xdf, 0x00, 0x0f, 0xff, 0xff},
		"blob":      {0x95, 0xa1, 'a', 0x90, 0x90, 0xc0, 0xc6, 0xff, 0xff, 0xff, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := Unmarshal(content, &message{})
			runtime.ReadMemStats(&after)
			if allocated := after.TotalAlloc - before.TotalAlloc; !errors.Is(err, ErrLength) || allocated > 64<<10 {
				t.Errorf("got error %v and %d bytes allocated, want ErrLength and less than 64 KB", err, allocated)
			}
		})
	}
}

// FuzzUnmarshal checks that no content makes the decoder panic or refuses what the library
// has encoded.
func FuzzUnmarshal(f *testing.F) {
	f.Add(encoded(f))
	f.Add([]byte{0x93, 0xa1, 'a', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, content []byte) {
		var got message
		if Unmarshal(content, &got) != nil {
			return
		}
		again, err := msgpack.Marshal(&got)
		if err != nil {
			t.Fatal(err)
		}
		if err := Unmarshal(again, &message{}); err != nil {
			t.Errorf("%x is refused: %v", again, err)
		}
	})
}
