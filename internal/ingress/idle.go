package ingress

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/queues"
)

// limits are the operator's limits in force.
type limits struct {
	queues.Limits
	// keepAlive is the value of the header that announces the time after which an idle connection
	// is closed, empty if there is none.
	keepAlive string
}

// keepAliveOf returns the value of the header Keep-Alive for an idle time. A connection is closed
// later than that, so a client that obeys the header sends no request on a connection that closes.
func keepAliveOf(idle time.Duration) string {
	seconds := int(idle / time.Second)
	if seconds < 1 {
		return ""
	}
	return "timeout=" + strconv.Itoa(seconds)
}

// announceIdleTime adds the time after which the connection is closed if it is not used.
func (g *Gate) announceIdleTime(ctx *fasthttp.RequestCtx) {
	if value := g.limits.Load().keepAlive; value != "" && !ctx.Response.ConnectionClose() && !ctx.Request.Header.ConnectionClose() {
		ctx.Response.Header.Set(fasthttp.HeaderKeepAlive, value)
	}
}

// removeUnused removes the connections that have waited for a request for too long, except those
// on which one has arrived that the process has not read yet; mu is held.
func (g *Gate) removeUnused(now time.Duration) []*Conn {
	var removed []*Conn
	for _, id := range g.machine.Unused(now) {
		c := g.conns[id]
		if c == nil || c.hasUnreadBytes() {
			continue
		}
		g.machine.Close(id)
		delete(g.conns, id)
		removed = append(removed, c)
	}
	return removed
}

// closeUnused closes connections that no request has used for the operator's idle time. Their
// clients are within the limits.
func (g *Gate) closeUnused(list []*Conn) {
	for _, c := range list {
		g.scope.Tagged(map[string]string{"port": c.port}).Counter("clients_idle_closed").Inc(1)
		event.LogRateLimited(event.HTTPIdleClosed, "port", c.port, "peer", c.Conn.RemoteAddr().String())
		_ = c.Conn.Close() // nothing is left to send
	}
}

// hasUnreadBytes reports whether bytes have arrived that the process has not read.
func (c *Conn) hasUnreadBytes() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	arrived := 0
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		// An error means that the connection is closed, or that nothing has arrived.
		arrived, _, _ = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && arrived > 0
}
