package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/sidecar/announce"
)

// Announce announces the backend server to the sidecar and renews the lease.
func (b *Backend) Announce() error {
	c := b.cfg
	return b.post(announce.PathAnnounce, announce.Announcement{
		Name: c.Name, Address: b.Addr(), Service: c.Service, Zone: c.Zone, Rack: c.Rack, Slots: c.Slots,
		Connections: c.Connections, Processors: c.Processors, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators,
		LeaseSeconds: c.Lease.Seconds(),
	})
}

// Leave tells the sidecar that the backend server accepts no new tasks.
func (b *Backend) Leave() error {
	return b.post(announce.PathLeave, announce.Leave{Name: b.cfg.Name})
}

func (b *Backend) post(path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + b.cfg.SidecarAddress + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(data)
	if err := b.client.DoTimeout(req, resp, callTimeout); err != nil {
		return errors.Annotatef(err, "post %s to sidecar %s", path, b.cfg.SidecarAddress)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("post %s to sidecar %s: status %d: %s", path, b.cfg.SidecarAddress, resp.StatusCode(), bytes.TrimSpace(resp.Body()))
	}
	return nil
}

// Run announces the backend server and renews the lease. When ctx ends, Run calls
// Shutdown. After Shutdown or Kill by another caller, Run returns nil.
func (b *Backend) Run(ctx context.Context) error {
	for {
		if err := b.Announce(); err != nil {
			b.cfg.Log("announce-failed", "%v", err)
		}
		select {
		case <-b.stop:
			return nil
		case <-ctx.Done():
			return b.Shutdown(context.Background())
		case <-time.After(b.cfg.Lease / 3):
		}
	}
}

// Shutdown tells the sidecar that the backend server leaves, waits for the running
// tasks and stops the server.
func (b *Backend) Shutdown(ctx context.Context) error {
	b.stopOnce.Do(func() { close(b.stop) })
	var leaveErr error
	if b.cfg.SidecarAddress != "" {
		leaveErr = b.Leave()
	}
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	ended := make(chan struct{})
	go func() { b.tasks.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "wait for running tasks")
	}
	if err := b.srv.ShutdownWithContext(ctx); err != nil {
		return errors.Annotate(err, "shut down")
	}
	return leaveErr
}

// Kill closes the listener and all connections immediately, as a crash would.
func (b *Backend) Kill() {
	b.stopOnce.Do(func() { close(b.stop) })
	b.lis.Close()
	b.mu.Lock()
	b.leaving = true
	conns := b.conns
	b.conns = nil
	b.mu.Unlock()
	for c := range conns {
		c.Close()
	}
}

// trackConn records the open connections for Kill.
func (b *Backend) trackConn(c net.Conn, state fasthttp.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		if b.conns == nil {
			c.Close()
			return
		}
		b.conns[c] = struct{}{}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(b.conns, c)
	}
}
