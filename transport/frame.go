package transport

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/tinylib/msgp/msgp"

	"github.com/fireflytray/fireflytray/wire"
)

// A frame consists of a u32 length of the rest of the frame, a u8 version, a u8
// kind, the stamp (two u64) and the body. Integers are big-endian. The sizes and
// offsets are in bytes.
const (
	lengthSize      = 4
	versionOffset   = 4
	kindOffset      = 5
	indexOffset     = 6
	digestOffset    = 14
	headerSize      = 22
	minLength       = headerSize - lengthSize
	initialBodyCap  = 64 << 10  // bytes
	maxRetainedBody = 256 << 10 // bytes
)

// frame is a decoded message with its stamp and its size on the wire.
type frame struct {
	msg   wire.Message
	stamp wire.Stamp
	size  int
}

// appendFrame encodes m and appends it to buf. On an error it returns buf with
// its original content.
func appendFrame(buf []byte, m wire.Message, s wire.Stamp, maxFrame int) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, headerSize)...)
	out, err := m.MarshalMsg(buf)
	if err != nil {
		return buf[:start], fmt.Errorf("encode %T: %w", m, err)
	}
	size := len(out) - start
	if size > maxFrame {
		return out[:start], fmt.Errorf("encode %T of %d bytes, limit %d: %w", m, size, maxFrame, ErrFrameSize)
	}
	head := out[start:]
	binary.BigEndian.PutUint32(head, uint32(size-lengthSize))
	head[versionOffset] = wire.Version
	head[kindOffset] = byte(m.Kind())
	binary.BigEndian.PutUint64(head[indexOffset:], s.Index)
	binary.BigEndian.PutUint64(head[digestOffset:], s.Digest)
	return out, nil
}

// decoder reads frames from one stream.
type decoder struct {
	r        io.Reader
	maxFrame int
	header   [headerSize]byte
	body     bytes.Buffer
}

// next reads one frame. It returns io.EOF only between frames.
func (d *decoder) next() (frame, error) {
	if _, err := io.ReadFull(d.r, d.header[:lengthSize]); err != nil {
		return frame{}, err
	}
	length := int64(binary.BigEndian.Uint32(d.header[:]))
	if length < minLength || length+lengthSize > int64(d.maxFrame) {
		return frame{}, fmt.Errorf("frame of %d bytes, want %d to %d: %w",
			length+lengthSize, headerSize, d.maxFrame, ErrFrameSize)
	}
	if _, err := io.ReadFull(d.r, d.header[lengthSize:]); err != nil {
		return frame{}, asUnexpectedEOF(err)
	}
	m, err := d.newMessage()
	if err != nil {
		return frame{}, err
	}
	if err := d.readBody(length - minLength); err != nil {
		return frame{}, err
	}
	if err := decodeBody(m, d.body.Bytes()); err != nil {
		return frame{}, err
	}
	stamp := wire.Stamp{
		Index:  binary.BigEndian.Uint64(d.header[indexOffset:]),
		Digest: binary.BigEndian.Uint64(d.header[digestOffset:]),
	}
	return frame{msg: m, stamp: stamp, size: int(length) + lengthSize}, nil
}

// newMessage returns an empty message of the kind in the header.
func (d *decoder) newMessage() (wire.Message, error) {
	if v := d.header[versionOffset]; v != wire.Version {
		return nil, fmt.Errorf("frame of version %d, want %d: %w", v, wire.Version, ErrVersion)
	}
	m, err := wire.New(wire.Kind(d.header[kindOffset]))
	if err != nil {
		return nil, fmt.Errorf("frame of kind %d: %w", d.header[kindOffset], ErrKind)
	}
	return m, nil
}

// readBody reads n bytes into d.body. The buffer grows with the bytes that have
// arrived, so that a large length without data does not allocate a large buffer.
func (d *decoder) readBody(n int64) error {
	if d.body.Cap() > maxRetainedBody {
		d.body = bytes.Buffer{}
	}
	d.body.Reset()
	d.body.Grow(int(min(n, initialBodyCap)))
	if _, err := io.CopyN(&d.body, d.r, n); err != nil {
		return asUnexpectedEOF(err)
	}
	return nil
}

func asUnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// decodeBody validates the structure of body before decoding it, so that the
// declared size of a container is never allocated unless its elements are there.
func decodeBody(m wire.Message, body []byte) error {
	rest, err := msgp.Skip(body)
	if err != nil {
		return fmt.Errorf("decode %T: %w: %w", m, ErrBody, err)
	}
	if len(rest) != 0 {
		return fmt.Errorf("decode %T: %w: %d bytes follow it", m, ErrBody, len(rest))
	}
	if _, err := m.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("decode %T: %w: %w", m, ErrBody, err)
	}
	return nil
}
