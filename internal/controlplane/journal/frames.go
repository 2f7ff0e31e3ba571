package journal

import (
	"encoding/binary"
	"hash/crc32"

	"applequay/internal/transport/wire"
)

// On disk every frame is: magic(4) generation(8) serial(8) length(4) crc(4)
// payload. A slot is one frame with serial 0; a log is a frame without payload
// that opens it, then one frame per batch.
const (
	frameHead  = 28
	slotMagic  = 0x41515331
	openMagic  = 0x41514c31
	batchMagic = 0x41514231
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

func frame(magic uint32, generation, serial uint64, payload []byte) []byte {
	out := make([]byte, frameHead+len(payload))
	binary.BigEndian.PutUint32(out[0:], magic)
	binary.BigEndian.PutUint64(out[4:], generation)
	binary.BigEndian.PutUint64(out[12:], serial)
	binary.BigEndian.PutUint32(out[20:], uint32(len(payload)))
	copy(out[frameHead:], payload)
	binary.BigEndian.PutUint32(out[24:], frameSum(out))
	return out
}

func frameSum(whole []byte) uint32 {
	sum := crc32.Update(0, crcTable, whole[:24])
	return crc32.Update(sum, crcTable, whole[frameHead:])
}

type readFrame struct {
	generation, serial uint64
	payload            []byte
	size               int
}

func parseFrame(magic uint32, body []byte) (readFrame, bool) {
	if len(body) < frameHead || binary.BigEndian.Uint32(body) != magic {
		return readFrame{}, false
	}
	size := frameHead + int(binary.BigEndian.Uint32(body[20:]))
	if size > len(body) || frameSum(body[:size]) != binary.BigEndian.Uint32(body[24:]) {
		return readFrame{}, false
	}
	return readFrame{
		generation: binary.BigEndian.Uint64(body[4:]),
		serial:     binary.BigEndian.Uint64(body[12:]),
		payload:    body[frameHead:size], size: size,
	}, true
}

func packWrites(writes []wire.Write) []byte {
	var out []byte
	for _, record := range writes {
		out = binary.AppendUvarint(out, uint64(record.Kind))
		out = binary.AppendUvarint(out, uint64(len(record.Body)))
		out = append(out, record.Body...)
	}
	return out
}

func unpackWrites(body []byte) ([]wire.Write, bool) {
	var out []wire.Write
	for len(body) > 0 {
		kind, n := binary.Uvarint(body)
		if n <= 0 {
			return nil, false
		}
		size, m := binary.Uvarint(body[n:])
		if m <= 0 || uint64(len(body)-n-m) < size {
			return nil, false
		}
		body = body[n+m:]
		out = append(out, wire.Write{Kind: wire.Kind(kind), Body: body[:size:size]})
		body = body[size:]
	}
	return out, true
}

// laterFrame tells whether a whole batch of this generation with a serial past
// the one given stands anywhere in body: if so, what comes before it was
// synced once and is now damaged.
func laterFrame(body []byte, generation, serial uint64) bool {
	for at := 1; at+frameHead <= len(body); at++ {
		found, ok := parseFrame(batchMagic, body[at:])
		if ok && found.generation == generation && found.serial > serial {
			return true
		}
	}
	return false
}
