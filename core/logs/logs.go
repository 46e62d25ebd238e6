package logs

import (
	"flag"
	"io"
	"strconv"
	"sync"

	"github.com/go-logr/logr/funcr"
	"k8s.io/klog/v2"
)

// Setup makes klog write JSON lines with the process's name to w, up to the given verbosity.
func Setup(w io.Writer, process string, level int) {
	var mu sync.Mutex
	write := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = io.WriteString(w, line+"\n")
	}
	sink := funcr.NewJSON(write, funcr.Options{LogTimestamp: true, Verbosity: level})
	klog.SetLogger(sink.WithValues("process", process))
	setVerbosity(level)
}

// setVerbosity sets klog's own level. klog drops lines above it before they reach the logger, whatever the logger's level.
func setVerbosity(level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(level))
}
