"""Hollow members beside real ones: what a fleet of many managers costs, and whether it stays right,
on one machine.

    python -m bench.scale run FILE.ini [--sizes 30,100]           # play it, again if it was played
    python -m bench.scale sweep FOLDER_OR_FILES [--sizes 30,100]  # play what has no result yet
    python -m bench.scale report

Real are managers by `dunlinlug manager`'s own code, each a process; hollow are members that speak
the same protocols, many to a process, without what is not measured. `docs/scale.md` says how they
are validated and what the limits are.

A run writes one file, `bench/scale/results/SCENARIO-MEMBERS-sSEED.json`, keys sorted; one that
ended early writes the same as `.partial`, which no sweep takes for a result. Seconds and shares are
by the rig's clock, which goes at `clock` of true time, so that a share of 0.01 is 10 ms of
processor time in one second of the members' own clocks.

    scenario, seed, date
    machine      {cores, memory_gb, load: [before, after]}   load: the machine's average over a minute
    sizes        {members, real, hollow, workers, followers, proxies}
    clock        part of true time at which all clocks of the run went
    beat_s       seconds from probe to probe
    span_s       seconds measured
    ended        "whole", or why it ended early
    peak_mb      the most that all processes of the run held together; pages that they share count in each
    steps        {name: kind}   what was done
    roles        {real, hollow, discovery, proxies: role}
      processes, members
      cpu_s, cpu_share_per_member                   processor time within the span; for a second and member
      control_cpu_s, control_cpu_share_per_member   of it, what was spent on members' words: opening, deciding, sealing,
                                                    sending, standing and facts; without waits and wakes
      rss_mb, rss_mb_per_member                     resident at the span's end, in all and by member
      messages    {kind: {in, out, bytes_in, bytes_out}}   of all members of the role, over the span
                  members: ping, ack, ask, nack, news, whole (sealed bytes); list (queries of discovery, bodies' bytes);
                  discovery: "list actual" (real managers), "list hollow"; proxies: ads, lrs
      per_member_s {in, out, bytes_in, bytes_out}   for a second and member, lists left out
      counts      what was logged or refused, and members' states as they changed: "became failed", "membership.process_paused", ...
      queues      the longest of each that was seen: gossip (items to be told on), streams, channel (lines), events,
                  waiting (queries that block), "refused rate" and the like: by one member since its start
      datagrams   {dropped, longest_unread_bytes}   at members' sockets, as the kernel tells
    times
      joined_s               from the start of all until all views were equal
      views_equal_s          from the end of the last fault until all views were equal and still are at the end, to a
                             second (to a quarter after the span); null if they were not within views_within_s
      failed_seen_s          {count, p50, p99, most} from a death until each other member says so
      failed_seen_by_last_s  the same until the last does
      list_at_last_s         from a change of the list until the last follower that was never stopped has it
      configured_at_last_s   from a change of configuration until the last real manager has taken it up
    truth
      false_verdicts, false_shown   members said to have failed that were up and reachable, and the first of them
      verdicts, verdicts_missing    all, and those that were owed and not told before the member was back
      rules       {lines, tries, bare, drain, queue, shown}: breaks at the real managers by the project's audit, of the
                  rules that it can tell without txns, and the lines of record that this rests on; null without proxies
      verdicts_uncounted            that did not fit into a process's memory of them
      grace_s                       seconds after a fault's end in which a verdict may still tell of it
      views_equal, views_within_s   whether all views became equal, and within which time they were to
      list_changes, list_lost, list_disordered   followers whose last list is not discovery's, or went back
    validation
      own       what an average hollow member said and heard beside an average real one in this run: {rows, worst,
                error, judged, valid}; null where things were done to members, as hollow ones alone are killed and cut
      earlier   {"5": bool, "30": bool}   the same of the runs `validate-5` and `validate-30`
    strained     more than 1% of the members' datagrams were dropped unread: the figures are the machine's
    valid        whether the figures count: whole, not strained, validated at 5 and 30, and here where it is compared
"""
