// The grammar of faults and conditions in an experiment's file: 'at 12s slow 3 of large by 4 for 10s', 'served of lemondeal >= 0.8'.
grammar ExperimentGrammar;

fault : AT TIME what (FOR TIME)? EOF ;

what : (SLOW some BY NUMBER)  # slow
     | HANG some  # hang
     | KILL some  # kill
     | DRAIN some  # drain
     | REPLACE some  # replace
     | CUT ZONE NUMBER  # cut
     | DISCOVERY DOWN  # discovery
     | SLOW STORE BY NUMBER  # store
     | RECONNECT NUMBER OF CLIENTS  # reconnect
     ;

some : (NUMBER | ALL) OF name ;

condition : side COMPARISON side EOF ;

side : NUMBER # number
     | name (OF name)? (TIMES NUMBER)? # figure
     ;

// Keywords are also valid as names where a name is expected, so a server pool can be called "store".
name : WORD | STORE | CLIENTS | ZONE | SLOW | ALL ;

AT : 'at' ;
FOR : 'for' ;
BY : 'by' ;
OF : 'of' ;
ALL : 'all' ;
SLOW : 'slow' ;
HANG : 'hang' ;
KILL : 'kill' ;
DRAIN : 'drain' ;
REPLACE : 'replace' ;
CUT : 'cut' ;
ZONE : 'zone' ;
DISCOVERY : 'discovery' ;
DOWN : 'down' ;
STORE : 'store' ;
RECONNECT : 'reconnect' ;
CLIENTS : 'clients' ;
TIMES : '*' ;
COMPARISON : '<=' | '>=' | '<' | '>' | '=' ;
TIME : [0-9]+ ('.' [0-9]+)? ('ms' | 's' | 'm') ;
NUMBER : [0-9]+ ('.' [0-9]+)? ;
WORD : [a-z] [a-z0-9-]* ;
SPACE : [ \t]+ -> skip ;
