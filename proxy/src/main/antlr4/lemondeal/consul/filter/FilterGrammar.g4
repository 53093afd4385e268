// Consul's filter language, after its public documentation: selectors, the matching operators, and, or, not and
// parentheses. Keywords are lower case, and may stand in a selector behind a dot.
grammar FilterGrammar;

filter : either EOF ;

either : both (OR both)* ;

both : unary (AND unary)* ;

unary : NOT unary # negation
      | OPEN either CLOSE # group
      | match # matching
      ;

// Whether a value stands where a field must is for the reader to say: it knows the place better than a longer look ahead.
match : value comparison ;

comparison : (EQUAL | UNEQUAL | CONTAINS | MATCHES) value # plain
           | NOT ((CONTAINS | MATCHES) value | IN selector) # denied
           | IS NOT? EMPTY # emptiness
           | IN selector # membership
           ;

selector : NAME step* ;

step : DOT word # key
     | OPEN_INDEX (QUOTED | RAW) CLOSE_INDEX # index
     ;

word : NAME | AND | OR | NOT | IN | IS | EMPTY | CONTAINS | MATCHES ;

value : selector # bare
      | NUMBER # number
      | (QUOTED | RAW) # text
      ;

AND : 'and' ;
OR : 'or' ;
NOT : 'not' ;
IN : 'in' ;
IS : 'is' ;
EMPTY : 'empty' ;
CONTAINS : 'contains' ;
MATCHES : 'matches' ;
EQUAL : '==' ;
UNEQUAL : '!=' ;
OPEN : '(' ;
CLOSE : ')' ;
OPEN_INDEX : '[' ;
CLOSE_INDEX : ']' ;
DOT : '.' ;
NUMBER : '-'? [0-9]+ ('.' [0-9]+)? ;
NAME : [a-zA-Z] [a-zA-Z0-9_/]* ;
QUOTED : '"' ~["]* '"' ;
RAW : '`' ~[`]* '`' ;
SPACE : [ \t\r\n]+ -> skip ;
