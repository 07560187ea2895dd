package transport

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

const testMaxFrame = 1 << 16

func encode(t testing.TB, m wire.Message) []byte {
	t.Helper()
	buf, err := appendFrame(nil, m, wire.Stamp{Index: 3, Digest: 5}, testMaxFrame)
	require.NoError(t, err)
	return buf
}

func decode(b []byte) (frame, error) {
	d := &decoder{r: bytes.NewReader(b), maxFrame: testMaxFrame}
	return d.next()
}

// Each malformed frame is refused with an error that says what is wrong.
func TestMalformedFrames(t *testing.T) {
	whole := encode(t, &wire.Announced{Seq: 1, Fresh: true})
	change := func(at int, b byte) []byte {
		out := bytes.Clone(whole)
		out[at] = b
		return out
	}
	oversized := binary.BigEndian.AppendUint32(nil, testMaxFrame)
	short := binary.BigEndian.AppendUint32(nil, minLength-1)
	trailing := append(bytes.Clone(whole), 0xc0)
	binary.BigEndian.PutUint32(trailing, uint32(len(trailing)-lengthSize))
	for name, c := range map[string]struct {
		frame []byte
		want  error
	}{
		"nothing":         {nil, io.EOF},
		"oversized":       {oversized, ErrFrameSize},
		"short":           {short, ErrFrameSize},
		"other version":   {change(versionOffset, wire.Version+1), ErrVersion},
		"unknown kind":    {change(kindOffset, 250), ErrKind},
		"cut in length":   {whole[:2], io.ErrUnexpectedEOF},
		"cut in header":   {whole[:headerSize-1], io.ErrUnexpectedEOF},
		"cut in body":     {whole[:len(whole)-1], io.ErrUnexpectedEOF},
		"bytes follow it": {trailing, ErrBody},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decode(c.frame)
			require.ErrorIs(t, err, c.want)
		})
	}
}

// A length or an array size alone reserves no memory in proportion to it.
func TestDeclaredSizesAllocateNothing(t *testing.T) {
	const claimed = 1 << 30
	length := make([]byte, headerSize)
	binary.BigEndian.PutUint32(length, claimed)
	length[versionOffset], length[kindOffset] = wire.Version, byte(wire.KindRaft)

	array := encode(t, &wire.Update{Tasks: []wire.Assignment{{}}})
	at := bytes.Index(array, []byte{0xa1, 'a', 0x91})
	require.Positive(t, at)
	array = append(array[:at+2], 0xdd, 0x40, 0, 0, 0)
	binary.BigEndian.PutUint32(array, uint32(len(array)-lengthSize))

	for name, b := range map[string][]byte{"length": length, "array": array} {
		t.Run(name, func(t *testing.T) {
			d := &decoder{r: bytes.NewReader(b), maxFrame: 2 * claimed}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := d.next()
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
		})
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(encode(f, &wire.Update{Seq: 1, Tasks: []wire.Assignment{{Team: "a", Spec: task.Spec{Payload: []byte("x")}}}}))
	f.Add(encode(f, &wire.ConfigPush{Index: 2, Sections: []wire.ConfigSection{{Name: "retry"}}}))
	f.Add(encode(f, &wire.Raft{Body: []byte("entry")}))
	f.Add(binary.BigEndian.AppendUint32(nil, testMaxFrame))
	f.Fuzz(func(t *testing.T, b []byte) {
		d := &decoder{r: bytes.NewReader(b), maxFrame: testMaxFrame}
		for {
			got, err := d.next()
			if err != nil {
				return
			}
			again, err := appendFrame(nil, got.msg, got.stamp, 2*testMaxFrame)
			require.NoError(t, err)
			require.NotEmpty(t, again)
		}
	})
}
