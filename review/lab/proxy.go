package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// healSpread is the time after a cut over which the channels that it has held up go on, in any order.
const healSpread = 20 * time.Millisecond

// proxy forwards connections to a worker. While it is cut, nothing passes in either direction, and nobody is told. What was sent meanwhile
// arrives after the cut, unless its sender has reset the channel.
type proxy struct {
	address string

	mu     sync.Mutex
	target string // empty while the worker is down: connections are refused
	cut    bool
	healed chan struct{}
	conns  map[net.Conn]bool

	listener net.Listener
}

func newProxy() (*proxy, error) {
	p := &proxy{conns: map[net.Conn]bool{}, healed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.listener, p.address = listener, listener.Addr().String()
	go p.accept(listener)
	return p, nil
}

// forwardTo sets the worker's address. An empty one closes the port and all connections, as the end of the worker's process does.
func (p *proxy) forwardTo(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	if target != "" && p.cut {
		// The connections of the life before are unknown to this one.
		for c := range p.conns {
			_ = c.Close()
		}
		p.conns = map[net.Conn]bool{}
	}
	if target == "" {
		_ = p.listener.Close()
		for c := range p.conns {
			_ = c.Close()
		}
		p.conns = map[net.Conn]bool{}
		p.listener = nil
		return
	}
	if p.listener != nil {
		return
	}
	for range 100 {
		listener, err := net.Listen("tcp", p.address)
		if err == nil {
			p.listener = listener
			go p.accept(listener)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut && !cut {
		close(p.healed)
		p.healed = make(chan struct{})
	}
	p.cut = cut
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[conn] = true
		p.mu.Unlock()
		go p.serve(conn)
	}
}

// wait returns once the proxy isn't cut.
func (p *proxy) wait() {
	for {
		p.mu.Lock()
		cut, healed := p.cut, p.healed
		p.mu.Unlock()
		if !cut {
			return
		}
		<-healed
		time.Sleep(rand.N(healSpread))
	}
}

func (p *proxy) serve(conn net.Conn) {
	defer conn.Close()
	p.wait()
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.conns[server] = true
	p.mu.Unlock()
	defer server.Close()
	done := make(chan struct{}, 2)
	pump := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			size, err := from.Read(buffer)
			p.wait()
			if size > 0 {
				if _, err := to.Write(buffer[:size]); err != nil {
					break
				}
			}
			if err == io.EOF || err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pump(server, conn)
	go pump(conn, server)
	<-done
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, server)
	p.mu.Unlock()
}
