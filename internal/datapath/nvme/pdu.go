// Package nvme implements a subset of NVMe over TCP, as a controller (the front that hosts connect to) and as a host (the
// upstream.Dialer that connects to targets). The core between the two handles commands like the requests of any other
// protocol. Anything outside the subset is answered with the status or the termination request that the specifications
// define for it, and never ignored.
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
	maxPDUData        = 128 << 10 // largest data of one PDU that is accepted
	maxH2CData        = 64 << 10  // MAXH2CDATA, sent to hosts in ICResp
	minH2CData        = 4096      // least MAXH2CDATA that the specification allows
	maxTransfer       = 128 << 10 // of one command; identify gives it as a power of two of pages (MDTS)
	maxInCapsuleData  = 8192
	defaultQueueDepth = 64
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// pdu is one received PDU. head starts with the common header; data is the PDU's data, if any.
type pdu struct {
	kind  byte
	flags byte
	head  []byte
	data  []byte
	// dataError is set if the data digest does not match: the command fails, and the connection stays open.
	dataError bool
}

func (p *pdu) u16(offset int) uint16 { return binary.LittleEndian.Uint16(p.head[offset:]) }
func (p *pdu) u32(offset int) uint32 { return binary.LittleEndian.Uint32(p.head[offset:]) }

// fatalError is an error for which the connection is ended with a termination request.
type fatalError struct {
	fes   uint16 // fatal error status
	fei   uint32 // fatal error information: the offset of the wrong field, or the digest
	cause string // for the log
	head  []byte // of the PDU at fault, copied into the request
}

func (f *fatalError) Error() string {
	return fmt.Sprintf("%s (FES %#x, FEI %#x)", f.cause, f.fes, f.fei)
}

// headLen returns the header length of a PDU type, or 0 if the type does not exist.
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

// framing is the PDU format that ICReq and ICResp negotiated for a connection.
type framing struct {
	hdigest, ddigest bool
	pda              int // PDU data alignment: the receiver wants data at multiples of 4*(pda+1)
}

// readPDU reads one PDU, and checks its header, its lengths and its digests before any of it is used.
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
		return nil, headerError(2, "header length does not match the PDU type")
	}
	digests := kind >= typeCmd
	hd := digests && f.hdigest
	if digests && (flags&flagHDigest != 0) != f.hdigest {
		return nil, headerError(1, "header digest flag differs from the negotiated setting")
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
			return nil, &fatalError{fes: fesHeaderDigest, fei: binary.LittleEndian.Uint32(d[:]), cause: "header digest mismatch", head: p.head}
		}
	}
	remaining := int(plen) - used
	if remaining == 0 {
		return p, nil
	}
	switch kind {
	case typeICReq, typeICResp, typeResp, typeR2T:
		return nil, headerError(4, "PDU type must not carry data")
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
		return nil, headerError(1, "data digest flag differs from the negotiated setting")
	}
	if dd {
		if remaining -= digestLen; remaining < 0 {
			return nil, headerError(4, "PDU length has no room for the data digest")
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

// unexpectedEOF replaces io.EOF within a PDU, so that it differs from a connection closed between two PDUs.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// appendPDU appends a PDU to b. head holds the fields after the common header.
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

// icHead returns the fields of ICReq and ICResp after the common header: version 0, data alignment, digests, and the limit
// that the type has (MAXR2T or MAXH2CDATA).
func icHead(digests byte, limit uint32) []byte {
	h := make([]byte, icLen-commonLen)
	h[3] = digests // h[2], the data alignment, stays 0
	binary.LittleEndian.PutUint32(h[4:], limit)
	return h
}

// termPDU returns a termination request. It carries the header of the PDU at fault.
func termPDU(kind byte, f *fatalError) []byte {
	h := make([]byte, dataLen-commonLen)
	binary.LittleEndian.PutUint16(h, f.fes)
	binary.LittleEndian.PutUint32(h[2:], f.fei)
	return appendPDU(nil, framing{}, kind, 0, h, f.head[:min(len(f.head), maxTermData)])
}

// dataHead returns the fields after the common header of H2CData, C2HData and R2T.
func dataHead(cid, tag uint16, offset, length uint32) []byte {
	h := make([]byte, dataLen-commonLen)
	binary.LittleEndian.PutUint16(h, cid)
	binary.LittleEndian.PutUint16(h[2:], tag)
	binary.LittleEndian.PutUint32(h[4:], offset)
	binary.LittleEndian.PutUint32(h[8:], length)
	return h
}
