package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// callerLink opens a link in front of an entry instance's caller port, and returns it with its address.
func (s *site) callerLink(i int) (*cutLink, string, error) {
	address := s.at(entryHost+i+linkOffset, s.caller)
	l, err := newCutLink(address, s.at(entryHost+i, s.caller), clientDelay)
	return l, address, err
}

// playCut cuts an entry instance off for 2 s, five times, while a client that has a connection to it
// submits a job on it, gets no answer in time, and sends the job again to another entry instance.
func playCut(rec *record) error {
	s, err := newSite(rec)
	if err != nil {
		return err
	}
	defer s.close()
	s.configure(queue{"payout", "/p/", 2, 3, 1.6, 60})
	const entries = 3
	if err := s.addEntries(entries, true); err != nil {
		return err
	}
	j := newJudge(rec)
	for i := range 8 {
		if err := s.addWorker(identity{fmt.Sprint("i-", i), 64000, "a", fmt.Sprint("r1-", i/3), 262144}, true, j.started); err != nil {
			return err
		}
		s.workers[i].onEnd = j.ended
	}
	var callers []*cutLink
	var addresses []string
	for i := range entries {
		l, address, err := s.callerLink(i)
		if err != nil {
			return err
		}
		defer l.close()
		callers, addresses = append(callers, l), append(addresses, address)
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	for round := range 5 {
		i := round % entries
		conn, err := net.Dial("tcp", addresses[i])
		if err != nil {
			return err
		}
		reader := bufio.NewReader(conn)
		if _, err := exchange(conn, reader, "GET /p/ HTTP/1.1\r\nHost: "+httpHost+"\r\n\r\n", time.Second); err != nil {
			return fmt.Errorf("the client's first request: %w", err)
		}
		time.Sleep(300 * time.Millisecond)
		if trouble {
			rec.add("entry-%d is cut off", i)
			callers[i].setCut(true)
			s.links[i].setCut(true)
			time.AfterFunc(2*time.Second, func() {
				rec.add("entry-%d is no longer cut off", i)
				callers[i].setCut(false)
				s.links[i].setCut(false)
			})
			time.Sleep(100 * time.Millisecond)
		}
		id := newID()
		body := job{encodeSpec(spec{Ms: 900, CPU: 6200}), []step{{Count: 4, CPU: 6200, Memory: 64, EstimatedMs: 900}}, true}
		j.submitted(id, body)
		text, _ := json.Marshal(body)
		rec.add("client submits %s to entry-%d: %s", id, i, text)
		request := fmt.Sprintf("POST /p/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nRequest-Deadline: 1500\r\nContent-Length: %d\r\n\r\n%s", id, httpHost, len(text), text)
		status, err := exchange(conn, reader, request, 1500*time.Millisecond)
		conn.Close()
		if err == nil {
			rec.add("client gets %d for %s", status, id)
			continue
		}
		rec.add("client has waited 1500 ms for %s, gets no answer and closes the connection", id)
		time.Sleep(1300 * time.Millisecond)
		s.submit((i+1)%entries, "/p/", id, body, 3*time.Second)
		time.Sleep(4 * time.Second)
	}
	return nil
}

// exchange sends a request and returns the status of the answer.
func exchange(conn net.Conn, reader *bufio.Reader, request string, wait time.Duration) (int, error) {
	if _, err := conn.Write([]byte(request)); err != nil {
		return 0, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	buf := make([]byte, 1<<10)
	for {
		if _, err := resp.Body.Read(buf); err != nil {
			break
		}
	}
	return resp.StatusCode, nil
}
