package targetapi_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
)

// responseWith returns a response to request with the given number of records.
func responseWith(records int) string {
	record := `{"key":"entry-00017","score":0.75,"fields":{"title":"owl at dusk","category":"nature"}}`
	list := strings.TrimSuffix(strings.Repeat(record+",", records), ",")
	return fmt.Sprintf(`{"id":"r1","search":"judges","version":"v1","shard":"s00","matched":%d,"count":%d,"records":[%s]}`,
		records, records, list)
}

// serveFixed runs a target that responds to each request with the same bytes, so
// that the target adds little to the result of a benchmark. It returns the
// target's address.
func serveFixed(b *testing.B, body string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: b1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		targetapi.HeaderBootID, len(body), body)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respondToEach(conn, response)
		}
	}()
	return listener.Addr().String()
}

func respondToEach(conn net.Conn, response []byte) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := reader.Discard(int(r.ContentLength)); err != nil {
			return
		}
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

func BenchmarkDo(b *testing.B) {
	for _, records := range []int{0, 20} {
		b.Run(fmt.Sprint(records, "records"), func(b *testing.B) {
			client := targetapi.NewTargetClient(targetapi.TargetClientOptions{Address: serveFixed(b, responseWith(records)), DataCentre: "dc1", Relay: "vm1/relay"})
			defer client.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			b.ReportAllocs()
			for b.Loop() {
				result := client.Do(ctx, targetapi.PathSearch, &request, time.Now().Add(time.Second))
				if result.Code != code.OK {
					b.Fatal(result.Err)
				}
			}
		})
	}
}
