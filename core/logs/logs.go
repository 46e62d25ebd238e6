package logs

import (
	"io"
	"sync"

	"github.com/go-logr/logr/funcr"
	"k8s.io/klog/v2"
)

// Setup makes klog write JSON lines with the process's name, up to the given verbosity.
func Setup(w io.Writer, process string, level int) {
	var mu sync.Mutex
	write := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = io.WriteString(w, line+"\n")
	}
	sink := funcr.NewJSON(write, funcr.Options{LogTimestamp: true, Verbosity: level})
	klog.SetLogger(sink.WithValues("process", process))
}
