package main

import (
	"fmt"

	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Rates of the mechanisms at the design size that the code fixes.
const (
	judgementsPerSecond = 1 / 0.05
	readersPerDomain    = 2
	readerInterval      = 1.0
	otherInterval       = 30.0
	registryReadEvery   = 600.0
	keySeconds          = 660.0
	snapshotEvery       = 50.0
	// heapGrowth is the size up to which the collector lets the heap grow, in relation to the live one.
	heapGrowth      = 2.0
	routesPerTicket = designRoutes / designServices
	// startReads are those of one starting node: registry, list of snapshots, snapshot, head and tickets.
	startReads = 5.0
	// readCost is the cost of a platform read in microseconds; it is that of a claim over loopback, client and
	// stand-in together, and so too high.
	readCost = 229.0
	// keysCore is the share of a core of keys at the request rate of one node: 0.47% at 1,000 keys/s in TestMemoryPerKey.
	keysCore = 0.0047 * requestsPerNode / 1000
)

// budget works the design size out from the slopes and the measurements.
type budget struct {
	figures *scaleFigures
	tests   *measurements
	// sent, received and worst are B/s of one node on an ordinary day, core is the share of its module and codec.
	sent, received, worst, core float64
	// datagrams per node and second, bytes/s between regions in all, snapshots per node and second.
	datagrams, crossed, contentChanges, numberChanges float64
}

func newBudget(f *scaleFigures, m *measurements) (*budget, error) {
	b := &budget{figures: f, tests: m}
	traffic, err := m.figures("capacity", "ordinary day", designNodes, 4)
	if err != nil {
		return nil, err
	}
	messages, err := m.figures("capacity", "ordinary day messages", designNodes, 4)
	if err != nil {
		return nil, err
	}
	b.sent, b.received, b.worst, b.core = traffic[0], traffic[1], traffic[2], traffic[3]/100
	b.datagrams, b.crossed, b.contentChanges, b.numberChanges = messages[0], messages[1], messages[2], messages[3]
	return b, nil
}

// rebuild is the processor time after the restart of one node, in microseconds.
func (b *budget) rebuild() float64 {
	sum := 0.0
	for _, name := range []string{figureSnapshot, figureReaders, figureChange(changeRecord)} {
		sum += b.figures.get(name).last()
	}
	return sum
}

func (b *budget) rebuildCore() float64 { return b.contentChanges * b.rebuild() / microsPerSecond }

// detectionCore is the share of a core of the edge's judgements at the request rate of the design size.
func (b *budget) detectionCore() float64 {
	return judgementsPerSecond * b.figures.get(figureEdgeTick).last() / microsPerSecond
}

// busyCore is what requests add to the judgements of an idle edge that has used a number of pairs, from the fits.
func (b *budget) busyCore(pairs float64) float64 {
	busy, idle := b.figures.get(figureEdgeTick).fit().at(pairs), b.figures.get(figureIdleTick).fit().at(pairs)
	return judgementsPerSecond * max(0, busy-idle) / microsPerSecond
}

func (b *budget) agentCore() float64 {
	return judgementsPerSecond * b.figures.get(figureAgentTick).last() / microsPerSecond
}

func (b *budget) ticketCore() float64 {
	perTicket := b.figures.get(figureRoutes).last() + b.figures.get(figureChange(changeTicket)).last() + b.tests.benchmark("Apply/routes=15")/1000
	return designTickets / secondsPerDay * perTicket / microsPerSecond
}

// keysMB is what owner and agent keep if the given share of all requests carries a key.
func (b *budget) keysMB(share float64) float64 {
	if len(b.tests.keys) == 0 {
		return 0
	}
	largest := b.tests.keys[0]
	for _, k := range b.tests.keys {
		if k.value > largest.value {
			largest = k
		}
	}
	return share * requestsPerNode * keySeconds * largest.value / 1e6
}

func (b *budget) heapMB(names ...string) float64 {
	sum := 0.0
	for _, name := range names {
		sum += b.figures.get(name).last()
	}
	return sum / 1000
}

func verdict(value, limit float64) string {
	if value <= limit {
		return fmt.Sprintf("met, %.0f%% used", 100*value/limit)
	}
	return fmt.Sprintf("**missed**, %.0f%% used", 100*value/limit)
}

func (b *budget) print() error {
	b.printRoles()
	b.printNode()
	if err := b.printPlatform(); err != nil {
		return err
	}
	b.printLinks()
	return nil
}

func (b *budget) printRoles() {
	fmt.Println("\n### Roles of a node")
	fmt.Println()
	fmt.Println("| role | messages | of a core | memory | source |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	row := func(role, messages string, core, memory float64, source string) {
		fmt.Printf("| %s | %s | %s%% | %.1f MB | %s |\n", role, messages, short(100*core), memory, source)
	}
	row("edge: detection, 105,000 pairs of target and route", fmt.Sprintf("none, %.0f judgements/s", judgementsPerSecond),
		b.detectionCore(), b.heapMB(heapEdge, heapCells), "measured at the full size and 269 requests/s")
	row("edge: view, choice of targets, route table", fmt.Sprintf("none, %.3f rebuilds/s", b.contentChanges), b.rebuildCore(),
		b.heapMB(heapView, heapPicker, heapRoutes), "worked out: rebuilds/s from the simulated day, cost measured")
	row("edge and agent: keys, each request with one", "one call per doubt, none per request", keysCore, b.keysMB(1),
		"bytes per key measured at 1,000 keys/s; core from the same test in proportion")
	row("agent: detection, 11 targets", "0.5 announcements/s per target on loopback", b.agentCore(), b.heapMB(heapAgent, heapAccounts),
		"measured; announcements are in the figures of idle processes")
	row("membership peer", fmt.Sprintf("%.2f datagrams/s, %.0f B/s sent, %.0f B/s received", b.datagrams, b.sent, b.received), b.core,
		b.heapMB(heapRecords), "measured at 670 nodes in simulated time, without sockets")
	row("ticket reader", fmt.Sprintf("%.0f read/s", readerInterval), readCost/readerInterval/microsPerSecond, 0,
		"worked out: a read counted as a claim over loopback, client and stand-in together")
	row("any other node: tickets", fmt.Sprintf("1 read in %.0f s", otherInterval), readCost/otherInterval/microsPerSecond+b.ticketCore(), 0,
		"worked out: 750 tickets a day, each with a rebuild")
}

// pairsMB is what an edge keeps for the pairs of target and route that it has used, from the fit.
func (b *budget) pairsMB(pairs float64) float64 {
	return b.figures.get(heapCells).fit().at(pairs) / 1000
}

// resident is the memory of a process whose live heap is larger than that of an idle one. The collector lets the heap
// grow to twice the live one.
func (b *budget) resident(heapMB float64) float64 { return b.tests.idleMB + heapGrowth*heapMB }

func (b *budget) printNode() {
	heap := b.heapMB(heapEdge, heapView, heapPicker, heapRoutes, heapAgent, heapRecords)
	fmt.Println("\n### One node in all")
	fmt.Println()
	fmt.Println("| budget | limit | worked out | verdict |")
	fmt.Println("| --- | --- | --- | --- |")
	const perDomain = designTargets / designDomains * routesPerService
	core := func(name string, pairs float64) {
		core := b.tests.idleCore + b.busyCore(pairs) + b.agentCore() + b.rebuildCore() + keysCore + b.ticketCore()
		fmt.Printf("| control work on an ordinary day, of a core, %s | %.1f%% | %s%% | %s |\n", name, 100*budgetCore, short(100*core), verdict(core, budgetCore))
	}
	core("targets of the own failure domain used", perDomain)
	core("every target used with every route", designTargets*routesPerService)
	memory := func(name string, pairs, share float64) {
		mb := b.resident(heap + b.pairsMB(pairs) + b.keysMB(share))
		fmt.Printf("| resident memory, %s | %.0f MB | %.0f MB | %s |\n", name, budgetMemoryMB, mb, verdict(mb, budgetMemoryMB))
	}
	memory("targets of the own failure domain used, no keys", perDomain, 0)
	memory("targets of the own failure domain used, a tenth of the requests with keys", perDomain, 0.1)
	memory("targets of the own failure domain used, all requests with keys", perDomain, 1)
	memory("targets of the own region used, a tenth of the requests with keys", perDomain*designDomains/designRegions, 0.1)
	memory("every target used with every route, no keys", designTargets*routesPerService, 0)
	fmt.Printf("| bytes/s, sent and received | %.0f | %.0f | %s |\n", budgetBytes, b.sent+b.received, verdict(b.sent+b.received, budgetBytes))
	fmt.Printf("| bytes/s of the busiest node, one way | %.0f | %.0f | %s |\n", budgetBytes, b.worst, verdict(b.worst, budgetBytes))
}

func (b *budget) printPlatform() error {
	heads := readersPerDomain*designDomains/readerInterval + (designNodes-readersPerDomain*designDomains)/otherInterval
	registry := designNodes / registryReadEvery
	starts := (designRestarts + designFailures) / secondsPerDay
	reads := heads + registry + starts*startReads
	// A start registers, a graceful end removes the row, a ticket is one transaction of two rows.
	writes := starts + designRestarts/secondsPerDay + 2*designTickets/secondsPerDay
	one, whole, err := ticketBytes()
	if err != nil {
		return err
	}
	fmt.Println("\n### Platform")
	fmt.Println()
	fmt.Println("| what | per second | of the limit | mechanism |")
	fmt.Println("| --- | --- | --- | --- |")
	fmt.Printf("| reads of the head row | %.1f | %.1f%% | 2 readers per failure domain each second, others each 30 s |\n", heads, 100*heads/budgetReads)
	fmt.Printf("| reads of the registry | %.2f | %.2f%% | each node each 10 minutes |\n", registry, 100*registry/budgetReads)
	fmt.Printf("| reads of starting nodes | %.2f | %.2f%% | %.0f reads per start |\n", starts*startReads, 100*starts*startReads/budgetReads, startReads)
	fmt.Printf("| reads in all | %.1f | %s | |\n", reads, verdict(reads, budgetReads))
	fmt.Printf("| writes of tickets, starts and ends | %.3f | %s | conditional writes; limit taken as %.0f/s |\n", writes, verdict(writes, budgetWrites), budgetWrites)
	fmt.Printf("| writes of plain keys | one per request | limit reached at %.2f%% of all requests | claim of a plain key |\n",
		100*(budgetWrites-writes)/designRequests)
	fmt.Printf("| snapshots to the object store | %.5f | | each %.0f tickets, %d kB |\n", designTickets/snapshotEvery/secondsPerDay, snapshotEvery, whole/1000)
	fmt.Printf("\nA ticket of %d routes takes %d B between nodes, the whole configuration %d B: %.0f B/s per node for %d tickets a day.\n",
		routesPerTicket, one, whole, float64(one)*designTickets/secondsPerDay, designTickets)
	return nil
}

// ticketBytes returns the size of a usual ticket and of the whole configuration between nodes.
func ticketBytes() (one, whole int, err error) {
	c := scaledConfiguration(designRoutes)
	packed, err := ticket.EncodeBatch(ticket.BatchMsg{Snapshot: c})
	if err != nil {
		return 0, 0, err
	}
	single, err := ticket.EncodeBatch(ticket.BatchMsg{Tickets: []model.Ticket{{Number: 2, Author: "Ada", Services: c.Services[:1]}}})
	return len(single), len(packed), err
}

// printLinks separates control from relayed traffic; a link is one direction between two regions.
func (b *budget) printLinks() {
	const links = designRegions * (designRegions - 1)
	fmt.Println("\n### Links between regions")
	fmt.Println()
	fmt.Println("| traffic | per link | of the limit | volume a day, all links | mechanism |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	row := func(name string, bytes float64, mechanism string) {
		mbit := bytes / links * 8 / bitsPerMegabit
		fmt.Printf("| %s | %s Mbit/s | %s | %s GB | %s |\n", name, short(mbit), verdict(mbit, budgetLinkMbit), short(bytes*secondsPerDay/bytesPerGigabyte), mechanism)
	}
	row("control, ordinary day", b.crossed, "gossip with random peers, three of four synchronisations in the own region")
	for _, c := range []struct{ share, kilobytes float64 }{{0.01, 20}, {0.05, 20}, {0.05, 250}, {2.0 / 3, 20}} {
		row(fmt.Sprintf("relayed, %.0f%% of requests with %.0f kB, at the peak", 100*c.share, c.kilobytes),
			designRequests*c.share*c.kilobytes*1000, "requests leave the region when its targets are full or ejected")
	}
}
