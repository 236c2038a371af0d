"""Systems: functions that decide over tables, without sockets or clocks of their own."""
