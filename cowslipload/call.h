#ifndef COWSLIPLOAD_CALL_H
#define COWSLIPLOAD_CALL_H

/* "cowslipload call": makes one HTTP call.  */
int ld_call (int argc, char **argv);

#endif
