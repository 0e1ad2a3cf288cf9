package transport

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"spindlehitch/internal/controlplane/membership"
)

// sockets are a member's datagram socket and stream listener at one address.
type sockets struct {
	packet net.PacketConn
	stream net.Listener
	bound  string
}

// listenAt opens a stream listener and a datagram socket at the same address and port.
func listenAt(addr string) (*sockets, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		l.Close()
		return nil, err
	}
	return &sockets{p, l, l.Addr().String()}, nil
}

// close closes both, which ends the goroutines that read from them.
func (s *sockets) close() {
	s.packet.Close()
	s.stream.Close()
}

// adoptSockets starts to receive on new sockets, and closes the previous ones.
func (r *Runner) adoptSockets(opened *sockets) {
	if r.sockets != nil {
		r.sockets.close()
	}
	r.sockets = opened
	go r.readDatagrams(opened.packet)
	go r.acceptStreams(opened.stream)
}

// send sends messages. It drops those that cannot be sent: the protocol tolerates lost messages.
func (r *Runner) send(list []membership.Outgoing) {
	streams := map[string][]byte{}
	for _, s := range list {
		b, err := r.enc.Marshal(s.Message)
		if err != nil || len(b) > maxFrameBytes {
			r.dropped.Add(1)
			continue
		}
		r.sentMessages.Add(1)
		r.sentBytes.Add(int64(len(b)))
		if s.Channel == membership.Stream {
			streams[s.Addr] = append(binary.BigEndian.AppendUint16(streams[s.Addr], uint16(len(b))), b...)
			continue
		}
		to, err := net.ResolveUDPAddr("udp", s.Addr)
		if err == nil {
			_, err = r.sockets.packet.WriteTo(b, to)
		}
		if err != nil {
			r.dropped.Add(1)
		}
	}
	from, _, _ := net.SplitHostPort(r.sockets.bound)
	for addr, b := range streams {
		select {
		case r.dialSlots <- struct{}{}:
			go func() {
				defer func() { <-r.dialSlots }()
				if err := sendFrames(from, addr, b); err != nil {
					r.dropped.Add(1)
				}
			}()
		default:
			r.dropped.Add(1)
		}
	}
}

// sendFrames opens a stream, writes frames to it and closes it.
func sendFrames(from, addr string, b []byte) error {
	d := net.Dialer{Timeout: streamTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(streamTimeout))
	_, err = c.Write(b)
	return err
}

// receive decodes a message and queues it for the run goroutine. It drops malformed messages, and any
// message while the queue is full.
func (r *Runner) receive(b []byte, via membership.Channel) {
	msg := &membership.Message{}
	if err := r.dec.Unmarshal(b, msg); err != nil || msg.Validate() != nil {
		r.malformed.Add(1)
		return
	}
	select {
	case r.incoming <- received{msg, via}:
	default:
		r.dropped.Add(1)
	}
}

// readDatagrams receives datagrams until the socket is closed.
func (r *Runner) readDatagrams(c net.PacketConn) {
	b := make([]byte, 64<<10)
	for {
		n, _, err := c.ReadFrom(b)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
		case n > maxFrameBytes:
			r.malformed.Add(1)
		default:
			r.receive(b[:n], membership.Datagram)
		}
	}
}

// acceptStreams accepts streams, and receives their frames, until the listener is closed. A stream is
// closed at its end, at a frame that is too large, and at streamTimeout.
func (r *Runner) acceptStreams(l net.Listener) {
	slots := make(chan struct{}, maxStreams)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			c.Close()
			r.dropped.Add(1)
			continue
		}
		go func() {
			defer func() { c.Close(); <-slots }()
			c.SetDeadline(time.Now().Add(streamTimeout))
			var head [2]byte
			for {
				if _, err := io.ReadFull(c, head[:]); err != nil {
					return
				}
				b := make([]byte, binary.BigEndian.Uint16(head[:]))
				if len(b) > maxFrameBytes {
					r.malformed.Add(1)
					return
				}
				if _, err := io.ReadFull(c, b); err != nil {
					return
				}
				r.receive(b, membership.Stream)
			}
		}()
	}
}
