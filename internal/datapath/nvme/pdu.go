// Package nvme speaks a subset of NVMe over TCP, as controller (a front) and as host (an upstream wire), with
// the core between them deciding as for any other wire. What lies outside the subset is answered with the
// proper status or a termination request, never with silence.
package nvme

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// PDU types.
const (
	typeICReq    = 0x00
	typeICResp   = 0x01
	typeH2CTerm  = 0x02
	typeC2HTerm  = 0x03
	typeCmd      = 0x04
	typeResp     = 0x05
	typeH2CData  = 0x06
	typeC2HData  = 0x07
	typeR2T      = 0x09
	flagHDigest  = 1 << 0
	flagDDigest  = 1 << 1
	flagLast     = 1 << 2
	flagSuccess  = 1 << 3
	icLen        = 128
	cmdLen       = 72 // common header and submission queue entry
	respLen      = 24
	dataLen      = 24
	commonLen    = 8
	maxTermData  = 128
	digestLen    = 4
	maxPDA       = 31
	digestHeader = 1 << 0
	digestData   = 1 << 1
)

// Fatal error status codes of a termination request.
const (
	fesInvalidHeader  = 0x01
	fesSequence       = 0x02
	fesHeaderDigest   = 0x03
	fesOutOfRange     = 0x04
	fesLimitExceeded  = 0x05
	fesUnsupported    = 0x06
	maxPDUData        = 128 << 10 // the largest data of one PDU that is taken
	maxH2CData        = 64 << 10  // told to hosts
	minH2CData        = 4096
	maxTransfer       = 128 << 10 // of one command; a power of two of pages, see identify
	maxInCapsuleData  = 8192
	defaultQueueDepth = 64
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// pdu is one message. head starts with the common header; data is what follows it, if any.
type pdu struct {
	kind  byte
	flags byte
	head  []byte
	data  []byte
	// dataError marks data whose digest does not match: the command fails, the connection lives.
	dataError bool
}

func (p *pdu) u16(offset int) uint16 { return binary.LittleEndian.Uint16(p.head[offset:]) }
func (p *pdu) u32(offset int) uint32 { return binary.LittleEndian.Uint32(p.head[offset:]) }

// fatal is an error that ends the connection with a termination request.
type fatalError struct {
	fes   uint16
	fei   uint32
	cause string
	head  []byte
}

func (f *fatalError) Error() string {
	return fmt.Sprintf("%s (FES %#x, FEI %#x)", f.cause, f.fes, f.fei)
}

// headLen is the length of each type's header; 0: not a type.
func headLen(kind byte) int {
	switch kind {
	case typeICReq, typeICResp:
		return icLen
	case typeCmd:
		return cmdLen
	case typeResp, typeH2CData, typeC2HData, typeR2T, typeH2CTerm, typeC2HTerm:
		return dataLen
	}
	return 0
}

// framing is what both sides agreed on.
type framing struct {
	hdigest, ddigest bool
	pda              int // the receiver wants data at multiples of 4*(pda+1)
}

// readPDU reads one message and checks its header, lengths and digests before any of it is used.
func readPDU(in io.Reader, f framing) (*pdu, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	var ch [commonLen]byte
	if _, err := io.ReadFull(in, ch[:]); err != nil {
		return nil, err
	}
	kind, flags, hlen, pdo := ch[0], ch[1], int(ch[2]), int(ch[3])
	plen := int64(binary.LittleEndian.Uint32(ch[4:]))
	headerError := func(field uint32, cause string) error {
		return &fatalError{fes: fesInvalidHeader, fei: field, cause: cause, head: ch[:]}
	}
	wantLen := headLen(kind)
	switch {
	case wantLen == 0:
		return nil, headerError(0, "unknown PDU type")
	case hlen != wantLen:
		return nil, headerError(2, "header length does not fit the type")
	}
	digests := kind >= typeCmd
	hd := digests && f.hdigest
	if digests && (flags&flagHDigest != 0) != f.hdigest {
		return nil, headerError(1, "header digest flag is not what was agreed")
	}
	used := hlen
	if hd {
		used += digestLen
	}
	if plen < int64(used) || plen > int64(used+4*(maxPDA+1)+maxPDUData+digestLen) {
		return nil, headerError(4, "PDU length out of range")
	}
	p := &pdu{kind: kind, flags: flags, head: make([]byte, hlen)}
	copy(p.head, ch[:])
	if _, err := io.ReadFull(in, p.head[commonLen:]); err != nil {
		return nil, unexpectedEOF(err)
	}
	if hd {
		var d [digestLen]byte
		if _, err := io.ReadFull(in, d[:]); err != nil {
			return nil, unexpectedEOF(err)
		}
		if got := crc32.Checksum(p.head, castagnoli); got != binary.LittleEndian.Uint32(d[:]) {
			return nil, &fatalError{fes: fesHeaderDigest, fei: binary.LittleEndian.Uint32(d[:]), cause: "header digest", head: p.head}
		}
	}
	remaining := int(plen) - used
	if remaining == 0 {
		return p, nil
	}
	switch kind {
	case typeICReq, typeICResp, typeResp, typeR2T:
		return nil, headerError(4, "data where the type has none")
	case typeH2CTerm, typeC2HTerm:
		if remaining > maxTermData {
			return nil, headerError(4, "termination request too long")
		}
		pdo = used
	}
	pad := pdo - used
	if pad < 0 || pad > remaining {
		return nil, headerError(3, "data offset out of range")
	}
	if _, err := io.CopyN(io.Discard, in, int64(pad)); err != nil {
		return nil, unexpectedEOF(err)
	}
	remaining -= pad
	dd := digests && flags&flagDDigest != 0
	if dd != (digests && f.ddigest && remaining > 0) {
		return nil, headerError(1, "data digest flag is not what was agreed")
	}
	if dd {
		if remaining -= digestLen; remaining < 0 {
			return nil, headerError(4, "no room for the data digest")
		}
	}
	p.data = make([]byte, remaining)
	if _, err := io.ReadFull(in, p.data); err != nil {
		return nil, unexpectedEOF(err)
	}
	if dd {
		var d [digestLen]byte
		if _, err := io.ReadFull(in, d[:]); err != nil {
			return nil, unexpectedEOF(err)
		}
		p.dataError = crc32.Checksum(p.data, castagnoli) != binary.LittleEndian.Uint32(d[:])
	}
	return p, nil
}

// short makes an end within a PDU tell itself from one between two.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// appendPDU writes a message: head holds the fields after the common header.
func appendPDU(b []byte, f framing, kind, flags byte, head, data []byte) []byte {
	hlen := commonLen + len(head)
	digests := kind >= typeCmd
	used := hlen
	if digests && f.hdigest {
		flags |= flagHDigest
		used += digestLen
	}
	pdo, plen := 0, used
	if len(data) > 0 {
		if digests {
			align := 4 * (f.pda + 1)
			pdo = (used + align - 1) / align * align
			plen = pdo
		}
		plen += len(data)
		if digests && f.ddigest {
			flags |= flagDDigest
			plen += digestLen
		}
	}
	start := len(b)
	b = append(b, kind, flags, byte(hlen), byte(pdo))
	b = binary.LittleEndian.AppendUint32(b, uint32(plen))
	b = append(b, head...)
	if flags&flagHDigest != 0 && digests {
		b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	}
	if len(data) == 0 {
		return b
	}
	for len(b)-start < pdo {
		b = append(b, 0)
	}
	b = append(b, data...)
	if flags&flagDDigest != 0 && digests {
		b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(data, castagnoli))
	}
	return b
}

// icHead is the body of ICReq and ICResp: version 0, alignment, digests, and the type's own limit.
func icHead(digests byte, limit uint32) []byte {
	h := make([]byte, icLen-commonLen)
	h[3] = digests // h[2], the alignment of data, stays 0
	binary.LittleEndian.PutUint32(h[4:], limit)
	return h
}

func termPDU(kind byte, f *fatalError) []byte {
	h := make([]byte, dataLen-commonLen)
	binary.LittleEndian.PutUint16(h, f.fes)
	binary.LittleEndian.PutUint32(h[2:], f.fei)
	return appendPDU(nil, framing{}, kind, 0, h, f.head[:min(len(f.head), maxTermData)])
}

func dataHead(cid, tag uint16, offset, length uint32) []byte {
	h := make([]byte, dataLen-commonLen)
	binary.LittleEndian.PutUint16(h, cid)
	binary.LittleEndian.PutUint16(h[2:], tag)
	binary.LittleEndian.PutUint32(h[4:], offset)
	binary.LittleEndian.PutUint32(h[8:], length)
	return h
}
