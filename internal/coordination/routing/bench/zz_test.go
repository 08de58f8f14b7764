package bench
import ("testing";"time";"fmt")
func TestZZ(t *testing.T){ s:=time.Now(); for _,r:=range Run(1,5*time.Minute){ fmt.Printf("%-16s %-20s n=%d first %8v %8v finish %9v %9v cached %.3f worst %.2f\n",r.Trace,r.Policy,r.Requests,r.FirstMean.Round(time.Millisecond),r.FirstP95.Round(time.Millisecond),r.FinishMean.Round(10*time.Millisecond),r.FinishP95.Round(10*time.Millisecond),r.Cached,r.WorstLoad)}; fmt.Println(time.Since(s)) }
