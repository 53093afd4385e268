// Consul's filter language according to its public documentation: selectors, the matching operators, and, or, not and
// parentheses. Keywords are lower case and are allowed in a selector after a dot.
grammar FilterGrammar;

filter : either EOF ;

either : both (OR both)* ;

both : unary (AND unary)* ;

unary : NOT unary # negation
      | OPEN either CLOSE # group
      | match # matching
      ;

// The grammar accepts any value on the left side. FilterBuilder rejects one that is not a field, and reports its
// position more precisely than a grammar with a longer lookahead would.
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
