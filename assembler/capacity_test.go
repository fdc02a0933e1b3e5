package assembler_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"apricotspool/administrator"
)

var (
	measureDaemons = flag.Int("measure-daemons", 32, "number of daemon processes, all in one data centre, that BenchmarkControlCost runs")
	measureFor     = flag.Duration("measure-for", time.Minute, "duration of the measurement")
)

// Size of the fleet that the system is designed for.
const (
	designCallers     = 2700
	designEndpoints   = 1600
	designDataCentres = 13
	// changeInterval is the mean time between configuration changes: 2,700 a day.
	changeInterval = 32 * time.Second
)

// designConfiguration returns a configuration of the design size. The endpoints of data centre "a"
// are engines of the cluster, several at one address. The others are unreachable.
func (c *cluster) designConfiguration() []byte {
	centres, callers, endpoints := map[string]any{}, map[string]any{}, map[string]any{}
	ranks := map[string]any{"urgent": map[string]any{"order": 0, "first-token": "1.4s", "share": 0.7}, "free": map[string]any{"order": 1, "first-token": "30s", "share": 0.2}}
	for i := range designDataCentres {
		centres[dataCentreName(i)] = map[string]any{"region": fmt.Sprintf("region-%d", i%5)}
	}
	for i := range designCallers {
		sum := sha256.Sum256([]byte(strconv.Itoa(i)))
		callers[fmt.Sprintf("caller-%d", i)] = map[string]any{"token-sha256": hex.EncodeToString(sum[:]), "rank": "urgent", "services": []string{"fitters"}}
	}
	for i := range designEndpoints {
		address := c.engines[i/designDataCentres%len(c.engines)]
		if i%designDataCentres != 0 {
			address = fmt.Sprintf("127.255.%d.%d:9", i/250, 1+i%250)
		}
		endpoints[fmt.Sprintf("engine-%d", i)] = map[string]any{"service": "fitters", "address": address, "data-centre": dataCentreName(i % designDataCentres), "models": []string{"belt-7b"}, "fencing": true}
	}
	patch, err := json.Marshal(map[string]any{
		"data-centres": centres, "callers": callers, "endpoints": endpoints,
		"models":   map[string]any{"belt-7b": map[string]any{"version": "1", "context": 65536}},
		"services": map[string]any{"fitters": map[string]any{"kind": "model", "models": []string{"belt-7b"}, "ranks": ranks, "deadline": "2m"}},
	})
	c.is.NoErr(err)
	return patch
}

func dataCentreName(i int) string { return string(rune('a' + i)) }

// processUsage is the resource usage of a process since its start.
type processUsage struct {
	cpuTime  time.Duration
	resident int // bytes
}

// usageOf reads the resource usage from /proc/PID/stat. Linux reports CPU time there in units of 10 ms.
func (c *cluster) usageOf(pid int) processUsage {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	c.is.NoErr(err)
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	return processUsage{time.Duration(user+system) * 10 * time.Millisecond, pages * os.Getpagesize()}
}

// Measures CPU time and memory of daemons without traffic, with a configuration of the design size that
// changes every 32 s. It asserts nothing about the results, since no test verdict may depend on a
// measurement.
//
//	go test ./assembler -run '^$' -bench ControlCost -benchtime 1x -measure-daemons 32
func BenchmarkControlCost(b *testing.B) {
	c := newCluster(b, *measureDaemons, "10ms", "0s")
	patch := c.designConfiguration()
	b.Logf("configuration of %d bytes", len(patch))
	code, body := c.operatorRequest(0, http.MethodPatch, "/configuration", patch, http.Header{"If-Match": {`"1"`}, administrator.HeaderPatchID: {"design"}})
	if code != http.StatusOK {
		b.Fatalf("status %d: %.300s", code, body)
	}
	for i := range c.daemons {
		c.eventually("the configuration is active", func() bool { return c.version(i) == 2 })
	}
	time.Sleep(10 * time.Second) // lets the garbage from startup be collected
	before := make([]processUsage, len(c.daemons))
	for i, d := range c.daemons {
		before[i] = c.usageOf(d.Process.Pid)
	}
	start := time.Now()
	version := 2
	for next := start.Add(changeInterval / 2); time.Since(start) < *measureFor; time.Sleep(time.Second) {
		if time.Now().After(next) {
			patch := fmt.Sprintf(`{"callers":{"caller-7":{"weight":%d}}}`, 1+version%9)
			code, _ := c.operatorRequest(0, http.MethodPatch, "/configuration", []byte(patch), http.Header{"If-Match": {fmt.Sprintf("%q", strconv.Itoa(version))}, administrator.HeaderPatchID: {fmt.Sprint("change-", version)}})
			c.is.Equal(code, http.StatusOK)
			version++
			next = next.Add(changeInterval)
		}
	}
	elapsed := time.Since(start)
	var total, most time.Duration
	var resident, largest int
	for i, d := range c.daemons {
		now := c.usageOf(d.Process.Pid)
		used := now.cpuTime - before[i].cpuTime
		total, most = total+used, max(most, used)
		resident, largest = resident+now.resident, max(largest, now.resident)
	}
	n := float64(len(c.daemons))
	b.ReportMetric(100*total.Seconds()/elapsed.Seconds()/n, "mean-%-of-a-core")
	b.ReportMetric(100*most.Seconds()/elapsed.Seconds(), "most-%-of-a-core")
	b.ReportMetric(float64(resident)/n/(1<<20), "mean-MB")
	b.ReportMetric(float64(largest)/(1<<20), "most-MB")
	b.ReportMetric(float64(version-2), "changes")
	c.is.Equal(c.version(len(c.daemons)-1), version)
}
