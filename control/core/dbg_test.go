package core
import ("testing";"fmt";"os";"strconv";"time")
func TestDebug(t *testing.T) {
	if os.Getenv("DBG")=="" {t.Skip()}
	seed,_ := strconv.Atoi(os.Getenv("SEED")); m,_ := strconv.Atoi(os.Getenv("DBG")); l,_:=strconv.Atoi(os.Getenv("LOST"))
	debugHook = func(s *simulation, what string){ fmt.Println(s.now.Round(time.Millisecond), what) }
	fmt.Println(play(uint64(seed), m, l, sound))
}
