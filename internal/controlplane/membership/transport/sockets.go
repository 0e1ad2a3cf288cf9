package transport

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"spindlehitch/internal/controlplane/membership"
)

// sockets are where a member is reached.
type sockets struct {
	packet net.PacketConn
	stream net.Listener
	bound  string
}

// listenAt opens a stream listener and a datagram socket at one address.
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

// close closes both.
func (s *sockets) close() {
	s.packet.Close()
	s.stream.Close()
}

// adoptSockets has the member be reached at sockets, in place of previous ones.
func (p *Runner) adoptSockets(box *sockets) {
	if p.sockets != nil {
		p.sockets.close()
	}
	p.sockets = box
	go p.readDatagrams(box.packet)
	go p.acceptStreams(box.stream)
}

// send sends messages. What cannot be sent is dropped, as it may be on any network.
func (p *Runner) send(list []membership.Outgoing) {
	streams := map[string][]byte{}
	for _, s := range list {
		b, err := p.enc.Marshal(s.Message)
		if err != nil || len(b) > maxFrameBytes {
			p.dropped.Add(1)
			continue
		}
		p.sentMessages.Add(1)
		p.sentBytes.Add(int64(len(b)))
		if s.Channel == membership.Stream {
			streams[s.Addr] = append(binary.BigEndian.AppendUint16(streams[s.Addr], uint16(len(b))), b...)
			continue
		}
		to, err := net.ResolveUDPAddr("udp", s.Addr)
		if err == nil {
			_, err = p.sockets.packet.WriteTo(b, to)
		}
		if err != nil {
			p.dropped.Add(1)
		}
	}
	from, _, _ := net.SplitHostPort(p.sockets.bound)
	for addr, b := range streams {
		select {
		case p.dialSlots <- struct{}{}:
			go func() {
				defer func() { <-p.dialSlots }()
				if err := dial(from, addr, b); err != nil {
					p.dropped.Add(1)
				}
			}()
		default:
			p.dropped.Add(1)
		}
	}
}

// dial sends frames by a stream of their own.
func dial(from, addr string, b []byte) error {
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

// receive decodes a message and queues it.
func (p *Runner) receive(b []byte, via membership.Channel) {
	x := &membership.Message{}
	if err := p.dec.Unmarshal(b, x); err != nil || x.Validate() != nil {
		p.malformed.Add(1)
		return
	}
	select {
	case p.incoming <- received{x, via}:
	default:
		p.dropped.Add(1)
	}
}

// readDatagrams receives until the socket is closed.
func (p *Runner) readDatagrams(c net.PacketConn) {
	b := make([]byte, 64<<10)
	for {
		n, _, err := c.ReadFrom(b)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
		case n > maxFrameBytes:
			p.malformed.Add(1)
		default:
			p.receive(b[:n], membership.Datagram)
		}
	}
}

// acceptStreams receives until the listener is closed.
func (p *Runner) acceptStreams(l net.Listener) {
	room := make(chan struct{}, maxStreams)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case room <- struct{}{}:
		default:
			c.Close()
			p.dropped.Add(1)
			continue
		}
		go func() {
			defer func() { c.Close(); <-room }()
			c.SetDeadline(time.Now().Add(streamTimeout))
			var head [2]byte
			for {
				if _, err := io.ReadFull(c, head[:]); err != nil {
					return
				}
				b := make([]byte, binary.BigEndian.Uint16(head[:]))
				if len(b) > maxFrameBytes {
					p.malformed.Add(1)
					return
				}
				if _, err := io.ReadFull(c, b); err != nil {
					return
				}
				p.receive(b, membership.Stream)
			}
		}()
	}
}
