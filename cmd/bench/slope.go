package main

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"
)

const (
	// costRounds are measured per figure; the median of them counts, because other loads disturb single rounds.
	costRounds = 5
	// costTime is the processor time of one round, enough that the clock of the kernel does not show.
	costTime = 50 * time.Millisecond
)

// sample is one measured value at one size.
type sample struct{ size, value float64 }

// slope is a figure at several sizes with its straight line value = fixed + per*size.
type slope struct {
	name    string
	unit    string
	per     string
	samples []sample
}

// line is the least-squares fit of a slope; residual is the largest deviation in relation to the value.
type line struct{ fixed, per, residual float64 }

// fit weights every sample by the square of the inverse of its value, so that the small sizes count as well.
func (s slope) fit() line {
	var w, wx, wy, wxx, wxy float64
	for _, p := range s.samples {
		weight := 1 / math.Max(p.value*p.value, math.SmallestNonzeroFloat32)
		w, wx, wy = w+weight, wx+weight*p.size, wy+weight*p.value
		wxx, wxy = wxx+weight*p.size*p.size, wxy+weight*p.size*p.value
	}
	l := line{fixed: wy / w}
	if determinant := w*wxx - wx*wx; len(s.samples) > 1 && determinant > 0 {
		l.per = (w*wxy - wx*wy) / determinant
		l.fixed = (wy - l.per*wx) / w
	}
	for _, p := range s.samples {
		l.residual = math.Max(l.residual, math.Abs(l.at(p.size)-p.value)/math.Max(p.value, math.SmallestNonzeroFloat32))
	}
	return l
}

func (l line) at(size float64) float64 { return l.fixed + l.per*size }

// last returns the value at the largest size.
func (s slope) last() float64 { return s.samples[len(s.samples)-1].value }

func printSlopes(slopes []slope) {
	fmt.Println("| figure | unit | sizes | measured | fit | largest deviation of the fit |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, s := range slopes {
		sizes, values := "", ""
		for i, p := range s.samples {
			if i > 0 {
				sizes, values = sizes+" / ", values+" / "
			}
			sizes, values = sizes+short(p.size), values+short(p.value)
		}
		l := s.fit()
		fmt.Printf("| %s | %s | %s %s | %s | %s + %s per %s | %.0f%% |\n", s.name, s.unit, sizes, s.per, values,
			short(l.fixed), short(l.per), s.per, 100*l.residual)
	}
}

// short prints three significant digits without exponents.
func short(v float64) string {
	switch magnitude := math.Abs(v); {
	case v == 0 || magnitude < 1e-6:
		return "0"
	case magnitude >= 100:
		return fmt.Sprintf("%.0f", v)
	default:
		digits := 2 - int(math.Floor(math.Log10(magnitude)))
		return fmt.Sprintf("%.*f", digits, v)
	}
}

// processorTime returns what the process has used, garbage collection included.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // It fails only for an unknown selector.
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cost returns the processor time of one call in microseconds.
func cost(call func()) float64 {
	call()
	rounds := make([]float64, costRounds)
	for i := range rounds {
		runtime.GC()
		count, begin := 0, processorTime()
		for processorTime()-begin < costTime {
			call()
			count++
		}
		rounds[i] = float64((processorTime() - begin).Nanoseconds()) / 1000 / float64(count)
	}
	slices.Sort(rounds)
	return rounds[costRounds/2]
}

// heapOf returns what the result of the call keeps, in kilobytes.
func heapOf[T any](build func() T) (T, float64) {
	before := heapAlloc()
	value := build()
	kept := float64(heapAlloc()) - float64(before)
	runtime.KeepAlive(value)
	return value, kept / 1000
}

func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
